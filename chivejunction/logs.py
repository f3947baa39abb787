"""Structured logging as JSON lines."""

import contextlib
import json
import logging
import os
import sys
import time

from chivejunction import clock

LOG = logging.getLogger('chivejunction')
DECISION_LOG = logging.getLogger('chivejunction.decision')

# Rate limit of log lines; allows several lines for each request at the target
# load of a gateway (34 requests/s).
LINES_PER_SECOND = 400
BURST_LINES = 1200
# Buffer for a slow reader, in addition to the 64 KB that a pipe holds.
MAX_PENDING_BYTES = 256 * 1024
# Longest line, and length of each part that is kept of a longer one. A
# character of such a part takes up to six after it is escaped again.
MAX_LINE_CHARACTERS = 32 * 1024
MAX_CUT_CHARACTERS = 1024
STANDARD_OUTPUT = 1
NEWLINE = ord('\n')
DROP_REPORT_START = b'{"logger": "chivejunction", "dropped_lines": '


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object on one line.

    Formatting raises no errors: a record that cannot be formatted gives a
    line with its format string and the error. Long lines are cut.
    """

    def __init__(self, host: str):
        super().__init__()
        self.host = host

    def format(self, record: logging.LogRecord) -> str:
        """Returns the JSON line of a record; it can be encoded in UTF-8."""
        try:
            fields = {'message': record.getMessage()}
            fields.update(getattr(record, 'fields', {}))
            if record.exc_info:
                fields['exception'] = self.formatException(record.exc_info)
            line = self._make_line(record, fields)
            if len(line) > MAX_LINE_CHARACTERS:
                line = self._cut(record, fields, line)
        except Exception as exc:
            line = self._describe_failure(record, exc)
        if not line.isascii():
            # An escaped surrogate is valid JSON.
            line = line.encode('utf-8', 'backslashreplace').decode()
        return line

    def _make_line(self, record: logging.LogRecord, fields: dict) -> str:
        line = {
            'time': round(time.time(), 3),
            'level': record.levelname.lower(),
            'host': self.host,
            'logger': record.name,
            **fields,
        }
        return json.dumps(line, ensure_ascii=False, default=str)

    def _cut(self, record, fields: dict, line: str) -> str:
        """Returns a line with the beginning of a line that is too long.

        The end of a traceback is kept, as it names the error.
        """
        cut = {
            'message': str(fields['message'])[:MAX_CUT_CHARACTERS],
            'line_characters': len(line),
            'line': line[:MAX_CUT_CHARACTERS],
        }
        if record.exc_info:
            cut['exception'] = fields['exception'][-MAX_CUT_CHARACTERS:]
        return self._make_line(record, cut)

    def _describe_failure(self, record, error: Exception) -> str:
        """Returns a line for a record that cannot be formatted."""
        fields = {
            'message': _describe(record.msg),
            'format_error': f'{type(error).__name__}: {_describe(error)}',
        }
        if record.exc_info and record.exc_info[0]:
            fields['exception'] = record.exc_info[0].__name__
        return self._make_line(record, fields)


def _describe(value) -> str:
    """Returns the beginning of an object's text, or the name of its type."""
    try:
        return str(value)[:MAX_CUT_CHARACTERS]
    except Exception:
        return type(value).__name__


def configure_logs(host: str, level: str = 'info', stream=None) -> None:
    """Writes all log records as JSON lines to a stream.

    Args:
        host: Name of this host, added to each line.
        level: Least severe level that is logged.
        stream: Text stream, standard error by default.
    """
    _install_handler(logging.StreamHandler(stream or sys.stderr), host, level)


def _install_handler(handler: logging.Handler, host: str, level: str) -> None:
    # Errors of handlers would be printed to standard error, which may block.
    logging.raiseExceptions = False
    handler.setFormatter(JsonFormatter(host))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for verbose_logger in ('httpcore', 'asyncio', 'uvicorn.access'):
        logging.getLogger(verbose_logger).setLevel(logging.WARNING)


class BoundedHandler(logging.Handler):
    """Writes rate-limited lines to a descriptor without blocking.

    Lines beyond the rate limit, or while the buffer is full, are dropped. The
    number of dropped lines is logged before the next accepted line. Lines
    that the descriptor refuses with an error are lost. No error leaves the
    handler.

    Args:
        descriptor: File descriptor to write to.

    Attributes:
        lost_lines: Lines dropped or lost by all handlers of this process.
    """

    lost_lines = 0

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)
        self._pending = b''
        # Whether the pending data begins with the rest of a line.
        self._is_inside_line = False
        self._available_lines = float(BURST_LINES)
        self._refilled_at = clock.now()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or drops it and counts it as dropped."""
        now = clock.now()
        self._available_lines += (now - self._refilled_at) * LINES_PER_SECOND
        self._available_lines = min(BURST_LINES, self._available_lines)
        self._refilled_at = now
        if self._available_lines < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
            BoundedHandler.lost_lines += 1
            self._flush()
            return
        self._available_lines -= 1
        try:
            line = self.format(record).encode('utf-8', 'backslashreplace')
        except Exception:
            self._dropped += 1
            BoundedHandler.lost_lines += 1
            return
        if self._dropped:
            self._pending += b'%s%d}\n' % (DROP_REPORT_START, self._dropped)
            self._dropped = 0
        self._pending += line + b'\n'
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            # The pipe is full; the next record flushes the buffer again.
            return
        except OSError:
            self._drop_pending()
            return
        if written:
            self._is_inside_line = self._pending[written - 1] != NEWLINE
            self._pending = self._pending[written:]

    def _drop_pending(self) -> None:
        """Drops the pending lines, except the rest of a line in progress."""
        lines = self._pending.splitlines(keepends=True)
        self._pending = lines.pop(0) if self._is_inside_line else b''
        for line in lines:
            if line.startswith(DROP_REPORT_START):
                self._dropped += json.loads(line)['dropped_lines']
            else:
                self._dropped += 1
                BoundedHandler.lost_lines += 1


def count_lost_lines() -> int:
    """Returns the log lines lost by this process since its start."""
    return BoundedHandler.lost_lines


def configure_bounded_logs(host: str, level: str = 'info') -> None:
    """Writes log records to standard output, rate-limited and non-blocking.

    Args:
        host: Name of this host, added to each line.
        level: Least severe level that is logged.
    """
    configure_logs(host, level)
    _install_handler(BoundedHandler(STANDARD_OUTPUT), host, level)


def log_decision(kind: str, **fields) -> None:
    """Logs a routing or placement decision as one line.

    Args:
        kind: Kind of decision, for example ``version`` or ``server``.
        **fields: Details of the decision; must be JSON serialisable.
    """
    if DECISION_LOG.isEnabledFor(logging.INFO):
        DECISION_LOG.info(kind, extra={'fields': {'decision': kind, **fields}})
