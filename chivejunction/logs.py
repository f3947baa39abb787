"""Logs as JSON lines."""

import json
import logging
import sys
import time

LOG = logging.getLogger('chivejunction')
DECISIONS = logging.getLogger('chivejunction.decision')


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


def log_decision(kind: str, **fields) -> None:
    """Writes one line for a routing or placement decision.

    Args:
        kind: What was decided, for example ``version`` or ``server``.
        **fields: Facts of the decision; must be JSON serialisable.
    """
    if DECISIONS.isEnabledFor(logging.INFO):
        DECISIONS.info(kind, extra={'fields': {'decision': kind, **fields}})
