"""Token counts and end markers of engine streams."""

import json

from chivejunction.protocol import usage

TOKEN = b'data: {"choices": [{"delta": {"content": "w"}}], "usage": null}\n\n'
COUNTS = b'data: {"choices": [], "usage": {"completion_tokens": 7}}\n\n'
DONE = b'data: [DONE]\n\n'


def pass_through(stream, size, drop_usage):
    event_filter = usage.EventFilter(drop_usage)
    parts = [
        event_filter.feed(stream[i : i + size])
        for i in range(0, len(stream), size)
    ]
    return event_filter, b''.join([*parts, event_filter.finish()])


class TestEventFilter:
    """Guards against lost usage and against a stream cut unnoticed."""

    def test_added_usage_is_read_and_not_passed_on(self):
        for size in (1, 7, 1000):
            found, out = pass_through(TOKEN + COUNTS + DONE, size, True)
            assert out == TOKEN + DONE
            assert found.usage == {'completion_tokens': 7}
            assert found.done

    def test_usage_the_caller_asked_for_is_passed_on(self):
        _, out = pass_through(TOKEN + COUNTS + DONE, 5, False)
        assert out == TOKEN + COUNTS + DONE

    def test_end_marker_inside_a_token_does_not_count(self):
        text = b'data: {"choices": [{"delta": "data: [DONE]"}]}\n\n'
        found, out = pass_through(text, 9, True)
        assert out == text
        assert not found.done

    def test_end_marker_without_separator_counts(self):
        found, out = pass_through(TOKEN + DONE.strip(), 9, True)
        assert found.done
        assert out == TOKEN + DONE.strip()

    def test_crlf_streams_are_understood(self):
        stream = (TOKEN + COUNTS + DONE).replace(b'\n', b'\r\n')
        found, out = pass_through(stream, 1, True)
        assert found.done
        assert out == TOKEN + DONE


class TestAskForUsage:
    """Guards against unbilled streams and against changed requests."""

    def test_is_added_to_streams_only(self):
        body, is_stream, added = usage.ask_for_usage(b'{"stream": true}')
        assert json.loads(body)['stream_options'] == {'include_usage': True}
        assert is_stream and added
        plain = b'{"stream": false}'
        assert usage.ask_for_usage(plain) == (plain, False, False)

    def test_wish_of_the_caller_is_kept(self):
        body = b'{"stream": true, "stream_options": {"include_usage": true}}'
        assert usage.ask_for_usage(body) == (body, True, False)
