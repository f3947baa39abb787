"""Ejection of backend servers that fail or are slow."""

import dataclasses
import statistics

from chivejunction import clock
from chivejunction.state import servers

CONSECUTIVE_ERRORS = 5
# Errors among the latest results of a server.
ERROR_WINDOW = 20
ERROR_SHARE = 0.5
# Idle-server first-token time relative to the median of the pool.
SLOW_RATIO = 5.0
SLOW_SAMPLES = 5
BASE_SECONDS = 5.0
MAX_SECONDS = 120.0


@dataclasses.dataclass(slots=True)
class Record:
    """Recent results of one server.

    Attributes:
        consecutive: Errors without a success in between.
        results: Latest results, 1 for an error.
        samples: First-token times seen since the last ejection.
        ejections: Ejections in a row, for the back-off.
        forgive_at: Monotonic time at which ejections are forgotten.
    """

    consecutive: int = 0
    results: list[int] = dataclasses.field(default_factory=list)
    samples: int = 0
    ejections: int = 0
    forgive_at: float = 0.0


class OutlierDetector:
    """Ejects servers on errors and latency, with exponential back-off.

    At most half of a pool is ejected at a time: when most servers look bad,
    the cause is not one of them, and the rest could not take the load.

    Args:
        table: Servers of the gateway.
    """

    def __init__(self, table: servers.ServerTable):
        self._table = table
        self._records: dict[str, Record] = {}

    def record(self, server: servers.Server, outcome: servers.Outcome) -> None:
        """Takes the result of an attempt into account."""
        if outcome.kind not in ('ok', 'error'):
            return
        record = self._records.setdefault(server.host, Record())
        if record.ejections and clock.has_passed(record.forgive_at):
            record.ejections = 0
        failed = outcome.kind == 'error'
        record.consecutive = record.consecutive + 1 if failed else 0
        record.results.append(int(failed))
        del record.results[:-ERROR_WINDOW]
        record.samples += outcome.first_token_at > 0
        if clock.has_passed(server.ejected_until) and (
            self._has_errors(record) or self._is_slow(server, record)
        ):
            self._eject(server, record)

    @staticmethod
    def _has_errors(record: Record) -> bool:
        return record.consecutive >= CONSECUTIVE_ERRORS or (
            len(record.results) == ERROR_WINDOW
            and sum(record.results) >= ERROR_SHARE * ERROR_WINDOW
        )

    def _is_slow(self, server: servers.Server, record: Record) -> bool:
        if record.samples < SLOW_SAMPLES:
            return False
        others = [
            s.first_token
            for s in self._table.in_pool(server.pool)
            if s.first_token and s is not server
        ]
        return len(others) >= 2 and (
            server.first_token > SLOW_RATIO * statistics.median(others)
        )

    def _eject(self, server: servers.Server, record: Record) -> None:
        pool = self._table.in_pool(server.pool)
        out = sum(not clock.has_passed(s.ejected_until) for s in pool)
        if 2 * (out + 1) > len(pool):
            return
        record.ejections += 1
        seconds = min(MAX_SECONDS, BASE_SECONDS * 2 ** (record.ejections - 1))
        server.ejected_until = clock.make_deadline(seconds)
        record.forgive_at = server.ejected_until + 4 * seconds
        record.consecutive = 0
        record.samples = 0
        record.results.clear()

    def forget(self, host: str) -> None:
        """Forgets the results of a host that is gone."""
        self._records.pop(host, None)


def keep_floor(
    usable: list[servers.Server], now: float
) -> list[servers.Server]:
    """Returns the servers that stay after ejection, at least half of them.

    The pool may have shrunk since servers were ejected; those whose ejection
    ends first come back then.

    Args:
        usable: Servers that could be chosen but for ejection.
        now: Monotonic time in seconds.
    """
    kept = [s for s in usable if s.ejected_until <= now]
    if len(kept) == len(usable):
        return usable
    missing = (len(usable) + 1) // 2 - len(kept)
    if missing > 0:
        ejected = [s for s in usable if s.ejected_until > now]
        ejected.sort(key=lambda s: s.ejected_until)
        kept.extend(ejected[:missing])
    return kept
