"""Token counts and end markers in the event streams of engines."""

import json

import pytest

from chivejunction.protocol import usage

TOKEN = b'data: {"choices": [{"delta": {"content": "w"}}], "usage": null}\n\n'
COUNTS = b'data: {"choices": [], "usage": {"completion_tokens": 7}}\n\n'
DONE = b'data: [DONE]\n\n'


def filter_stream(stream, size, drop_usage):
    event_filter = usage.UsageFilter(drop_usage)
    parts = [
        event_filter.feed(stream[i : i + size])
        for i in range(0, len(stream), size)
    ]
    return event_filter, b''.join([*parts, event_filter.finish()])


class TestUsageFilter:
    """Guards against lost usage and undetected truncation of streams."""

    def test_added_usage_is_extracted_and_removed(self):
        for size in (1, 7, 1000):
            event_filter, forwarded = filter_stream(
                TOKEN + COUNTS + DONE, size, True
            )
            assert forwarded == TOKEN + DONE
            assert event_filter.usage == {'completion_tokens': 7}
            assert event_filter.has_end_marker

    def test_usage_requested_by_the_caller_is_forwarded(self):
        _, forwarded = filter_stream(TOKEN + COUNTS + DONE, 5, False)
        assert forwarded == TOKEN + COUNTS + DONE

    def test_end_marker_inside_a_token_is_ignored(self):
        text = b'data: {"choices": [{"delta": "data: [DONE]"}]}\n\n'
        event_filter, forwarded = filter_stream(text, 9, True)
        assert forwarded == text
        assert not event_filter.has_end_marker

    def test_end_marker_without_separator_is_recognised(self):
        event_filter, forwarded = filter_stream(TOKEN + DONE.strip(), 9, True)
        assert event_filter.has_end_marker
        assert forwarded == TOKEN + DONE.strip()

    def test_crlf_line_ends_are_accepted(self):
        stream = (TOKEN + COUNTS + DONE).replace(b'\n', b'\r\n')
        event_filter, forwarded = filter_stream(stream, 1, True)
        assert event_filter.has_end_marker
        assert forwarded == TOKEN + DONE


class TestEventFormat:
    """Guards against complete streams that count as cut or as unbilled.

    The format of event streams makes the blank after the colon optional,
    lines may end with CR, LF or CRLF, and an event may have other fields.
    """

    @pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
    @pytest.mark.parametrize('blank', [b' ', b''])
    @pytest.mark.parametrize('size', [1, 7, 1000])
    def test_line_ends_and_blanks(self, line_end, blank, size):
        stream = (TOKEN + COUNTS + DONE).replace(b'data: ', b'data:' + blank)
        event_filter, forwarded = filter_stream(
            stream.replace(b'\n', line_end), size, True
        )
        assert event_filter.has_end_marker
        assert event_filter.usage == {'completion_tokens': 7}
        expected = (TOKEN + DONE).replace(b'data: ', b'data:' + blank)
        assert forwarded == expected

    def test_events_with_cr_are_forwarded_at_once(self):
        event_filter = usage.UsageFilter(True)
        forwarded = event_filter.feed(TOKEN.replace(b'\n', b'\r'))
        assert forwarded == TOKEN

    def test_usage_after_other_fields(self):
        stream = b': comment\nid: 4\nevent: usage\n' + COUNTS + DONE
        event_filter, forwarded = filter_stream(stream, 9, True)
        assert event_filter.usage == {'completion_tokens': 7}
        assert forwarded == DONE

    def test_end_marker_after_other_fields(self):
        event_filter, _ = filter_stream(TOKEN + b'id: 9\n' + DONE, 9, True)
        assert event_filter.has_end_marker


class TestAskForUsage:
    """Guards against unbilled streams and needlessly changed requests."""

    def test_option_is_added_to_streams_only(self):
        body, is_stream, added = usage.add_usage_option(b'{"stream": true}')
        assert json.loads(body)['stream_options'] == {'include_usage': True}
        assert is_stream and added
        plain = b'{"stream": false}'
        assert usage.add_usage_option(plain) == (plain, False, False)

    def test_option_set_by_the_caller_is_kept(self):
        body = b'{"stream": true, "stream_options": {"include_usage": true}}'
        assert usage.add_usage_option(body) == (body, True, False)


class TestOddCounts:
    """Guards against counts that end an attempt or a link.

    A count above 64 bits or a name with half a surrogate cannot be encoded in
    a frame.
    """

    COUNTS = [
        ('9' * 400, {}),
        ('18446744073709551616', {}),
        ('-1', {}),
        ('true', {}),
        ('1e3', {}),
        ('7', {'a': 7}),
    ]

    @pytest.mark.parametrize(('text', 'counts'), COUNTS)
    def test_only_counts_are_extracted(self, text, counts):
        body = f'{{"choices": [], "usage": {{"a": {text}}}}}'.encode()
        assert usage.parse_usage(body) == counts
        event_filter = usage.UsageFilter(False)
        event_filter.feed(b'data: ' + body + b'\n\n')
        assert event_filter.usage == counts

    def test_odd_names_are_left_out(self):
        body = b'{"usage": {"\\ud800": 1, "\\u0e01": 1, "a": 2}}'
        assert usage.parse_usage(body) == {'a': 2}

    def test_number_of_counts_is_limited(self):
        body = json.dumps({'usage': {f'c{i}': i for i in range(1000)}})
        counts = usage.parse_usage(body.encode())
        assert len(counts) == usage.MAX_COUNTS

    def test_deep_nesting_is_no_usage(self):
        deep = b'{"usage": ' + b'[' * 100_000
        assert usage.parse_usage(deep) == {}
        assert usage.add_usage_option(deep) == (deep, False, False)
        event_filter = usage.UsageFilter(False)
        event = b'data: ' + deep + b'\n\n'
        assert event_filter.feed(event) == event
