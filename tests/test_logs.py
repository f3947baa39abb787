"""Tests of the log handlers with odd records and a failing output."""

import errno
import io
import json
import logging
import os
import subprocess
import sys

import pytest

from chivejunction import logs


class Unprintable:
    """Object without a text."""

    def __str__(self):
        raise RuntimeError('no text')

    __repr__ = __str__


def make_circular():
    """Returns a list that contains itself."""
    value = []
    value.append(value)
    return value


def make_deep():
    """Returns a list that is nested too deeply to be encoded."""
    value = []
    for _ in range(100_000):
        value = [value]
    return value


ODD_RECORDS = {
    'half of a surrogate pair in a field': ('text', (), {'a': 'kit-\ud83d'}),
    'half of a surrogate pair in the message': ('kit-\ud83d', (), {}),
    'field without a text': ('text', (), {'a': Unprintable()}),
    'argument without a text': ('text %s', (Unprintable(),), {}),
    'circular field': ('text', (), {'a': make_circular()}),
    'deep field': ('text', (), {'a': make_deep()}),
    'key that is no text': ('text', (), {('a',): 1}),
    'fields that are no table': ('text', (), 7),
    'missing argument': ('text %s %s', (1,), {}),
    'argument of another type': ('text %d', ('x',), {}),
    'huge field': ('text', (), {'a': 'x' * 10_000_000}),
    'huge message': ('text' + 'x' * 10_000_000, (), {}),
    'message without a text': (Unprintable(), (), {}),
}


def make_record(message, args, fields, exc_info=None):
    """Returns a log record."""
    record = logging.LogRecord(
        'chivejunction', logging.INFO, '', 0, message, args, exc_info
    )
    record.fields = fields
    return record


@pytest.fixture
def pipe():
    """Both ends of a pipe: reader and writer."""
    ends = os.pipe()
    yield ends
    for end in ends:
        try:
            os.close(end)
        except OSError:
            continue


def make_handler(descriptor):
    """Returns a handler as the gateway uses it."""
    handler = logs.BoundedHandler(descriptor)
    handler.setFormatter(logs.JsonFormatter('gw-1'))
    return handler


def read_lines(descriptor):
    """Returns the decoded lines that a pipe holds."""
    os.set_blocking(descriptor, False)
    return [
        json.loads(line)
        for line in os.read(descriptor, 1 << 20).decode().splitlines()
    ]


class TestOddRecords:
    """Guards against a log line that ends the task which logs it."""

    @pytest.mark.parametrize('name', ODD_RECORDS)
    def test_odd_record_leaves_a_line(self, pipe, name):
        reader, writer = pipe
        handler = make_handler(writer)
        handler.emit(make_record(*ODD_RECORDS[name]))
        handler.emit(make_record('next', (), {}))
        line, following = read_lines(reader)
        assert line['host'] == 'gw-1'
        assert line['level'] == 'info'
        if isinstance(ODD_RECORDS[name][0], str):
            assert line['message'].startswith(ODD_RECORDS[name][0][:4])
        assert following['message'] == 'next'

    @pytest.mark.parametrize('name', ODD_RECORDS)
    def test_odd_record_does_not_disturb_a_text_stream(
        self, name, monkeypatch
    ):
        monkeypatch.setattr(logging, 'raiseExceptions', True)
        monkeypatch.setattr(sys, 'stderr', io.StringIO())
        buffer = io.BytesIO()
        stream = io.TextIOWrapper(buffer, 'utf-8', errors='strict')
        handler = logging.StreamHandler(stream)
        handler.setFormatter(logs.JsonFormatter('agent-1'))
        handler.emit(make_record(*ODD_RECORDS[name]))
        assert json.loads(buffer.getvalue())['host'] == 'agent-1'
        assert sys.stderr.getvalue() == ''

    def test_line_that_cannot_be_formatted_names_the_error(self, pipe):
        reader, writer = pipe
        make_handler(writer).emit(make_record('took %d ms', ('x',), {}))
        (line,) = read_lines(reader)
        assert line['message'] == 'took %d ms'
        assert 'TypeError' in line['format_error']

    def test_half_of_a_surrogate_pair_is_escaped(self, pipe):
        reader, writer = pipe
        make_handler(writer).emit(make_record('text', (), {'a': 'k\ud83d'}))
        (line,) = read_lines(reader)
        assert line['a'] == 'k\ud83d'

    def test_long_line_is_cut_but_keeps_the_end_of_the_traceback(self, pipe):
        reader, writer = pipe

        def fail(depth):
            if depth:
                return fail_again(depth - 1)
            raise ValueError('reason')

        def fail_again(depth):
            return fail(depth)

        try:
            fail(400)
        except ValueError:
            record = make_record(
                'text', (), {'a': 'x' * 100_000}, sys.exc_info()
            )
        make_handler(writer).emit(record)
        (line,) = read_lines(reader)
        assert len(json.dumps(line)) < logs.MAX_LINE_CHARACTERS
        assert line['exception'].endswith('ValueError: reason')

    def test_error_of_the_formatter_itself_is_counted(self, pipe):
        reader, writer = pipe
        handler = make_handler(writer)
        handler.formatter.format = lambda record: 1 / 0
        lost = logs.count_lost_lines()
        handler.emit(make_record('text', (), {}))
        assert logs.count_lost_lines() == lost + 1


class TestFailingOutput:
    """Guards against an output whose errors end the task which logs."""

    def test_full_device_is_survived_and_counted(self):
        lost = logs.count_lost_lines()
        descriptor = os.open('/dev/full', os.O_WRONLY)
        try:
            handler = make_handler(descriptor)
            for _ in range(10):
                handler.emit(make_record('text', (), {}))
        finally:
            os.close(descriptor)
        assert logs.count_lost_lines() == lost + 10

    def test_broken_pipe_is_survived_and_counted(self, pipe):
        reader, writer = pipe
        lost = logs.count_lost_lines()
        handler = make_handler(writer)
        os.close(reader)
        for _ in range(10):
            handler.emit(make_record('text', (), {}))
        assert logs.count_lost_lines() == lost + 10

    def test_closed_descriptor_is_survived(self, pipe):
        handler = make_handler(pipe[1])
        os.close(pipe[1])
        handler.emit(make_record('text', (), {}))

    def test_handler_can_be_made_for_a_closed_descriptor(self, pipe):
        os.close(pipe[1])
        make_handler(pipe[1]).emit(make_record('text', (), {}))

    def test_slow_reader_gets_whole_lines_and_the_rest_is_counted(self, pipe):
        reader, writer = pipe
        lost = logs.count_lost_lines()
        handler = make_handler(writer)
        for number in range(1000):
            handler.emit(make_record('%d' + 'x' * 1000, (number,), {}))
        assert len(handler._pending) < 2 * logs.MAX_PENDING_BYTES
        lines = []
        for _ in range(20):
            try:
                lines += os.read(reader, 1 << 20).splitlines(keepends=True)
            except BlockingIOError:
                break
            os.set_blocking(reader, False)
            handler._flush()
        dropped = logs.count_lost_lines() - lost
        whole = b''.join(lines).decode().splitlines()
        assert dropped > 0
        assert [json.loads(line)['host'] for line in whole] == ['gw-1'] * (
            1000 - dropped
        )

    def test_lines_after_an_error_are_whole(self, monkeypatch, pipe):
        """An error after a part of a line was written must not join lines."""
        reader, writer = pipe
        handler = make_handler(writer)
        real_write = os.write
        results = iter(['part', errno.EIO, errno.ENOSPC, 'all', 'all'])

        def write(descriptor, data):
            result = next(results)
            if isinstance(result, int):
                raise OSError(result, 'injected')
            size = 20 if result == 'part' else len(data)
            return real_write(descriptor, data[:size])

        lost = logs.count_lost_lines()
        monkeypatch.setattr(os, 'write', write)
        for number in range(5):
            handler.emit(make_record('line %d', (number,), {}))
        messages = [line.get('message') for line in read_lines(reader)]
        assert messages == ['line 0', None, 'line 3', 'line 4']
        assert logs.count_lost_lines() == lost + 2

    def test_error_in_a_handler_does_not_print_to_standard_error(self):
        """Standard error may be blocked."""
        script = (
            'import logging, os\n'
            'from chivejunction import logs\n'
            'logs.configure_bounded_logs("gw-1")\n'
            'handler = logging.StreamHandler()\n'
            'handler.format = lambda record: 1 / 0\n'
            'logging.getLogger().addHandler(handler)\n'
            'logs.LOG.info("text")\n'
        )
        result = subprocess.run(
            [sys.executable, '-c', script], capture_output=True, timeout=30
        )
        assert (result.returncode, result.stderr) == (0, b'')
        assert json.loads(result.stdout)['message'] == 'text'

    def test_configuration_survives_closed_standard_streams(self):
        script = (
            'import sys\n'
            'from chivejunction import logs\n'
            'logs.configure_bounded_logs("gw-1")\n'
            'logs.LOG.info("text")\n'
            'sys.exit(7)\n'
        )
        result = subprocess.run(
            ['sh', '-c', 'exec "$0" -c "$1" 0<&- 1>&- 2>&-']
            + [sys.executable, script],
            timeout=30,
        )
        assert result.returncode == 7
