"""Outlier ejection of backend servers that fail or are slow."""

import dataclasses
import statistics

from chivejunction import clock
from chivejunction.state import servers

# A server is ejected after this many errors in a row, or if this share of its
# latest ERROR_WINDOW results are errors.
CONSECUTIVE_ERRORS = 5
ERROR_WINDOW = 20
ERROR_SHARE = 0.5
# A server is ejected if its time to first token, corrected to an idle server,
# exceeds this multiple of the median of the other servers of its pool.
SLOW_RATIO = 5.0
MIN_LATENCY_SAMPLES = 5
BASE_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 120.0


@dataclasses.dataclass(slots=True)
class Record:
    """Recent results of one server.

    Attributes:
        consecutive: Errors since the last success.
        results: Latest results, 1 for an error and 0 for a success.
        samples: First-token times observed since the last ejection.
        ejections: Ejections that count for the back-off.
        forgive_at: Monotonic time at which the back-off is reset.
    """

    consecutive: int = 0
    results: list[int] = dataclasses.field(default_factory=list)
    samples: int = 0
    ejections: int = 0
    forgive_at: float = 0.0


class OutlierDetector:
    """Ejects servers for errors or latency, with exponential back-off.

    At most half of a pool is ejected at a time: if most servers fail, the
    cause lies outside of them, and the remaining ones could not carry the
    load.

    Args:
        table: Servers of the gateway.
    """

    def __init__(self, table: servers.ServerTable):
        self._table = table
        self._records: dict[str, Record] = {}

    def record(self, server: servers.Server, outcome: servers.Outcome) -> None:
        """Records the outcome of an attempt and ejects an outlier.

        Args:
            server: Server that the attempt was sent to.
            outcome: Outcome. Refused and cancelled attempts are ignored.
        """
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
            self._exceeds_error_limit(record) or self._is_slow(server, record)
        ):
            self._eject(server, record)

    @staticmethod
    def _exceeds_error_limit(record: Record) -> bool:
        return record.consecutive >= CONSECUTIVE_ERRORS or (
            len(record.results) == ERROR_WINDOW
            and sum(record.results) >= ERROR_SHARE * ERROR_WINDOW
        )

    def _is_slow(self, server: servers.Server, record: Record) -> bool:
        if record.samples < MIN_LATENCY_SAMPLES:
            return False
        others = [
            s.first_token_seconds
            for s in self._table.list_pool(server.pool)
            if s.first_token_seconds and s is not server
        ]
        return len(others) >= 2 and (
            server.first_token_seconds > SLOW_RATIO * statistics.median(others)
        )

    def _eject(self, server: servers.Server, record: Record) -> None:
        pool = self._table.list_pool(server.pool)
        ejected = sum(not clock.has_passed(s.ejected_until) for s in pool)
        if 2 * (ejected + 1) > len(pool):
            return
        record.ejections += 1
        seconds = min(
            MAX_EJECTION_SECONDS,
            BASE_EJECTION_SECONDS * 2 ** (record.ejections - 1),
        )
        server.ejected_until = clock.make_deadline(seconds)
        record.forgive_at = server.ejected_until + 4 * seconds
        record.consecutive = 0
        record.samples = 0
        record.results.clear()

    def remove(self, host: str) -> None:
        """Removes the results of a host."""
        self._records.pop(host, None)


def filter_ejected(
    eligible: list[servers.Server], now: float
) -> list[servers.Server]:
    """Returns the servers that are not ejected, at least half of all.

    The pool may have shrunk since servers were ejected. If fewer than half
    would be left, the servers whose ejection ends first are kept as well.

    Args:
        eligible: Servers to choose from, including ejected ones.
        now: Monotonic time in seconds.
    """
    kept = [s for s in eligible if s.ejected_until <= now]
    if len(kept) == len(eligible):
        return eligible
    missing = (len(eligible) + 1) // 2 - len(kept)
    if missing > 0:
        ejected = [s for s in eligible if s.ejected_until > now]
        ejected.sort(key=lambda s: s.ejected_until)
        kept.extend(ejected[:missing])
    return kept
