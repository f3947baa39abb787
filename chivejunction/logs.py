"""Logs as JSON lines."""

import json
import logging
import os
import sys
import time

from chivejunction import clock

LOG = logging.getLogger('chivejunction')
DECISIONS = logging.getLogger('chivejunction.decision')


# Lines a second beyond which lines are left out; several for each request at
# the target load of a gateway (34 requests/s).
LINES_PER_SECOND = 400
BURST_LINES = 1200
# Bytes that wait for a reader that is slow; a pipe holds 64 KB besides.
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
    """Sends all log records as JSON lines to a stream, stderr by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(host))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for noisy in ('httpcore', 'asyncio', 'uvicorn.access'):
        logging.getLogger(noisy).setLevel(logging.WARNING)


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines beyond the rate, or that find no room, are counted; the count goes
    out with the next line that passes.

    Args:
        descriptor: File descriptor to write to.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending = b''
        self._left = float(BURST_LINES)
        self._filled_at = clock.now()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as left out."""
        now = clock.now()
        self._left += (now - self._filled_at) * LINES_PER_SECOND
        self._left = min(BURST_LINES, self._left)
        self._filled_at = now
        if self._left < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
            self._flush()
            return
        self._left -= 1
        if self._dropped:
            note = {'logger': LOG.name, 'dropped_lines': self._dropped}
            self._pending += json.dumps(note).encode() + b'\n'
            self._dropped = 0
        self._pending += self.format(record).encode() + b'\n'
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            # The reader is slow; the lines wait for the next record.
            return
        self._pending = self._pending[written:]


def configure_bounded_logs(host: str, level: str = 'info') -> None:
    """Sends log records to standard output, bounded and without blocking."""
    configure_logs(host, level)
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(host))
    logging.getLogger().handlers[:] = [handler]


def log_decision(kind: str, **fields) -> None:
    """Writes one line for a routing or placement decision.

    Args:
        kind: What was decided, for example ``version`` or ``server``.
        **fields: Facts of the decision; must be JSON serialisable.
    """
    if DECISIONS.isEnabledFor(logging.INFO):
        DECISIONS.info(kind, extra={'fields': {'decision': kind, **fields}})
