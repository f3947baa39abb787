"""Evidence of which prompt parts crash engines, from all gateways.

Each crash report names a request that was in progress when its engine
crashed, and the parts of its prompt that may be the cause. A part is found
harmful if it was a suspect in several crashes and no request with it has got
a complete response since. Crashes that a harmful part explains do not count
against the other parts.
"""

import collections
import dataclasses
import math
import random

import xxhash

from chivejunction import clock
from chivejunction.protocol import forwarding

# Reports count for this long.
REPORT_TTL_SECONDS = 300.0
MAX_REPORTS = 768
# Requests and prompt parts whose latest success is remembered.
MAX_SUCCESSES = 8192
# Parts of one prompt that are reported, and those that one report names.
MAX_PARTS = 48
PARTS_PER_REPORT = 12
# Time after the first event within which a response has only just begun.
BEGINNING_SECONDS = 1.0
# Weight of a crash for a part of a request whose response had just begun, and
# of any other: one that still waited, as the head of its response may have
# been lost, or one that had been running for longer.
BEGUN_WEIGHT = 1.0
OTHER_WEIGHT = 0.6
# A part is harmful at this total weight if the reports name more than one
# request, else at the second one.
HARMFUL_WEIGHT = 3.0
HARMFUL_WEIGHT_ONE_REQUEST = 4.0
MIN_REQUESTS = 2
# A request that was in progress at this many crashes is not sent again.
MAX_CRASHES_PER_REQUEST = 2
# Reports of a server within this time are about one crash. A server may start
# again, and crash again, before its entry in the store shows it.
SAME_CRASH_SECONDS = 0.5
# Crashes of servers with different requests that are closer together than this
# count as one: a rack may lose power.
SIMULTANEOUS_SECONDS = 0.1
# A part with a success this recent is not reported as a suspect.
RECENT_SUCCESS_SECONDS = 3.0
# Time in which other gateways can report a success that clears a part.
SETTLE_SECONDS = 0.3


def hash_part(part_id: str) -> int:
    """Returns the 64-bit hash of a prompt part's id."""
    return xxhash.xxh3_64_intdigest(part_id.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class PromptHashes:
    """Hashes of the parts of one prompt.

    Attributes:
        shared_parts: Parts that other requests may share, in order; each is
            named once, even if the prompt repeats it.
        own_part: The last part, which identifies the request.
    """

    shared_parts: tuple[int, ...]
    own_part: int

    @classmethod
    def make(cls, prompt: tuple[forwarding.PromptPart, ...]) -> 'PromptHashes':
        """Returns the hashes of a prompt."""
        hashes = tuple(hash_part(part.id) for part in prompt)
        shared_parts = tuple(dict.fromkeys(hashes[:-1]))
        return cls(shared_parts, hashes[-1] if hashes else 0)


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that was in progress at a server when it crashed.

    Attributes:
        server: Hash of the server process.
        request: Hash of the request's last prompt part.
        parts: Hashes of the other parts that may be the cause, in order.
        has_begun: Whether the response had just begun.
        crashed_at: Monotonic time of the crash.
        first_position: Position of the first one of these parts among all
            that may be the cause; the others are in reports of their own.
    """

    server: int
    request: int
    parts: tuple[int, ...]
    has_begun: bool
    crashed_at: float
    first_position: int = 0

    def split(self) -> 'list[CrashReport]':
        """Returns reports of which none names too many parts."""
        return [
            dataclasses.replace(
                self,
                parts=self.parts[start : start + PARTS_PER_REPORT],
                first_position=start,
            )
            for start in range(0, len(self.parts), PARTS_PER_REPORT)
        ]


def share_request(first: list[CrashReport], second: list[CrashReport]) -> bool:
    """Returns whether a request was in progress at both of two crashes."""
    requests = {report.request for report in first}
    return any(report.request in requests for report in second)


class CrashEvidence:
    """Pools crash reports and finds the prompt parts that cause crashes."""

    def __init__(self):
        self._reports: collections.OrderedDict[
            tuple[int, int, int], CrashReport
        ] = collections.OrderedDict()
        self._succeeded_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    @property
    def has_reports(self) -> bool:
        """Whether any crash was reported lately."""
        return bool(self._reports)

    def add(self, report: CrashReport) -> None:
        """Adds a report; a later one of the same crash replaces it."""
        key = report.server, report.request, report.first_position
        self._reports[key] = report
        while len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)

    def record_success(
        self, part: int, succeeded_at: float | None = None
    ) -> bool:
        """Records that a request with a part got a complete response.

        Args:
            part: Hash of the part.
            succeeded_at: Monotonic time of its end; None for now.

        Returns:
            Whether the part was a suspect until now.
        """
        if succeeded_at is None:
            succeeded_at = clock.now()
        previous = self._succeeded_at.pop(part, -math.inf)
        self._succeeded_at[part] = max(previous, succeeded_at)
        if len(self._succeeded_at) > MAX_SUCCESSES:
            self._succeeded_at.popitem(last=False)
        return any(
            part in report.parts
            and previous < report.crashed_at <= succeeded_at
            for report in self._reports.values()
        )

    def list_suspects(self, parts: tuple[int, ...]) -> tuple[int, ...]:
        """Returns the parts that had no success lately.

        Of too many, those stay that earlier reports name or that had no
        success for longest. Any of the others may be the cause, so these are
        drawn.
        """
        since = clock.now() - RECENT_SUCCESS_SECONDS
        suspects = [p for p in parts if self._get_success(p) < since]
        if len(suspects) > MAX_PARTS:
            named = {p for r in self._reports.values() for p in r.parts}
            ranked = sorted(
                suspects,
                key=lambda part: (
                    part not in named,
                    self._get_success(part),
                    random.random(),
                ),
            )
            kept = set(ranked[:MAX_PARTS])
            suspects = [part for part in suspects if part in kept]
        return tuple(suspects)

    def _get_success(self, part: int) -> float:
        return self._succeeded_at.get(part, -math.inf)

    def is_suspect_request(self, own_part: int) -> bool:
        """Returns whether a request has been in progress at several crashes.

        Args:
            own_part: Hash of the last part of its prompt.
        """
        succeeded_at = self._get_success(own_part)
        crashes = [
            report
            for report in self._reports.values()
            if report.request == own_part
            and report.has_begun
            and not report.first_position
            and report.crashed_at > succeeded_at
        ]
        return len(crashes) >= MAX_CRASHES_PER_REQUEST

    def _remove_expired(self, now: float) -> None:
        for key, report in list(self._reports.items()):
            if report.crashed_at < now - REPORT_TTL_SECONDS:
                del self._reports[key]

    def _list_crashes(self, now: float) -> list[list[CrashReport]]:
        """Returns the reports of each crash; simultaneous ones are one."""
        reports = sorted(
            (
                report
                for report in self._reports.values()
                if report.crashed_at <= now - SETTLE_SECONDS
            ),
            key=lambda report: report.crashed_at,
        )
        latest: dict[int, list[CrashReport]] = {}
        by_server = []
        for report in reports:
            group = latest.get(report.server)
            if group is None or (
                report.crashed_at - group[0].crashed_at > SAME_CRASH_SECONDS
            ):
                group = latest[report.server] = []
                by_server.append(group)
            group.append(report)
        crashes, started_at = [], -math.inf
        for server_reports in by_server:
            crashed_at = server_reports[0].crashed_at
            is_simultaneous = crashed_at - started_at <= SIMULTANEOUS_SECONDS
            if not is_simultaneous or share_request(
                crashes[-1], server_reports
            ):
                crashes.append([])
                started_at = crashed_at
            crashes[-1].extend(server_reports)
        return crashes

    def find_harmful(self, known: frozenset[int]) -> list[int]:
        """Returns the parts that the reports show to be harmful.

        Args:
            known: Parts that are known to be harmful.
        """
        now = clock.now()
        self._remove_expired(now)
        unexplained = [
            crash
            for crash in self._list_crashes(now)
            if not any(known.intersection(report.parts) for report in crash)
        ]
        found = []
        while (part := self._find_most_suspect(unexplained)) is not None:
            found.append(part)
            unexplained = [
                crash
                for crash in unexplained
                if not any(part in report.parts for report in crash)
            ]
        return found

    def _find_most_suspect(
        self, crashes: list[list[CrashReport]]
    ) -> int | None:
        """Returns the part that most likely caused crashes, None for none.

        Between parts with the same weight, the one whose latest success is
        the longest ago goes first, then the more specific one.
        """
        weights: dict[int, float] = collections.defaultdict(float)
        requests: dict[int, set[int]] = collections.defaultdict(set)
        positions: dict[int, int] = {}
        for crash in crashes:
            crash_weights: dict[int, float] = {}
            for report in crash:
                weight = BEGUN_WEIGHT if report.has_begun else OTHER_WEIGHT
                for position, part in enumerate(
                    report.parts, report.first_position
                ):
                    if self._get_success(part) >= report.crashed_at:
                        continue
                    crash_weights[part] = max(
                        weight, crash_weights.get(part, 0.0)
                    )
                    requests[part].add(report.request)
                    positions[part] = position
            for part, weight in crash_weights.items():
                weights[part] += weight
        harmful = [
            part
            for part, weight in weights.items()
            if weight
            >= (
                HARMFUL_WEIGHT
                if len(requests[part]) >= MIN_REQUESTS
                else HARMFUL_WEIGHT_ONE_REQUEST
            )
        ]
        return max(
            harmful,
            key=lambda part: (
                weights[part],
                -self._get_success(part),
                positions[part],
            ),
            default=None,
        )
