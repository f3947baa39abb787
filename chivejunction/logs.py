"""Structured logging as JSON lines."""

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


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object on one line."""

    def __init__(self, host: str):
        super().__init__()
        self.host = host

    def format(self, record: logging.LogRecord) -> str:
        """Returns the JSON line of a record."""
        line = {
            'time': round(time.time(), 3),
            'level': record.levelname.lower(),
            'host': self.host,
            'logger': record.name,
            'message': record.getMessage(),
        }
        line.update(getattr(record, 'fields', {}))
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=False, default=str)


def configure_logs(host: str, level: str = 'info', stream=None) -> None:
    """Writes all log records as JSON lines to a stream.

    Args:
        host: Name of this host, added to each line.
        level: Least severe level that is logged.
        stream: Text stream, standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(host))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for verbose_logger in ('httpcore', 'asyncio', 'uvicorn.access'):
        logging.getLogger(verbose_logger).setLevel(logging.WARNING)


class BoundedHandler(logging.Handler):
    """Writes rate-limited lines to a descriptor without blocking.

    Lines beyond the rate limit, or while the buffer is full, are dropped. The
    number of dropped lines is logged before the next accepted line.

    Args:
        descriptor: File descriptor to write to.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending = b''
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
            self._flush()
            return
        self._available_lines -= 1
        if self._dropped:
            drop_report = {'logger': LOG.name, 'dropped_lines': self._dropped}
            self._pending += json.dumps(drop_report).encode() + b'\n'
            self._dropped = 0
        self._pending += self.format(record).encode() + b'\n'
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            # The pipe is full; the next record flushes the buffer again.
            return
        self._pending = self._pending[written:]


def configure_bounded_logs(host: str, level: str = 'info') -> None:
    """Writes log records to standard output, rate-limited and non-blocking.

    Args:
        host: Name of this host, added to each line.
        level: Least severe level that is logged.
    """
    configure_logs(host, level)
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(host))
    logging.getLogger().handlers[:] = [handler]


def log_decision(kind: str, **fields) -> None:
    """Logs a routing or placement decision as one line.

    Args:
        kind: Kind of decision, for example ``version`` or ``server``.
        **fields: Details of the decision; must be JSON serialisable.
    """
    if DECISION_LOG.isEnabledFor(logging.INFO):
        DECISION_LOG.info(kind, extra={'fields': {'decision': kind, **fields}})
