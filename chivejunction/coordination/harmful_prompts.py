"""Quarantine of prompt parts that crash engines.

An attempt that breaks off may have crashed its server. If the server refuses
connections then, the gateway reports the crash to all others, with the parts
of the prompt. Only a complete response proves that the parts of its prompt
are sound: an engine may crash after the first events. Each gateway judges all
reports, see ``state.crash_evidence``. Requests with a part that was found
harmful are refused without an attempt, and those in progress are cancelled
before their server begins to respond.

Reports and findings travel as bulletins, which need no store. Findings are
also written to the store under a lease, for gateways that start later.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import math
import re

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import bulletins
from chivejunction.coordination import gateway_membership
from chivejunction.coordination import request_context
from chivejunction.state import backends
from chivejunction.state import crash_evidence
from chivejunction.transport import backend_connections
from chivejunction.transport import stores

PREFIX = 'chivejunction/harmful/'
# Part of a key after the prefix, see ``make_key``.
KEY_NAME = re.compile('[0-9a-f]{16}')
CRASH_KIND = 'crash'
PART_KIND = 'part'
# Values of bulletins on a part.
SOUND, HARMFUL = 0, 1
# Time for which a part stays in quarantine. A version of the engines that
# bears it may be in use afterwards.
QUARANTINE_SECONDS = 600
MAX_QUARANTINED_PARTS = 256
SOUND_TTL_SECONDS = 60.0
# Attempts at one server that break off together are collected for this long.
COLLECT_SECONDS = 0.03
# Requests that one gateway reports for one crash.
MAX_REQUESTS_PER_CRASH = 8
EVALUATION_INTERVAL_SECONDS = 0.1
STORE_INTERVAL_SECONDS = 0.5
# Delay of the write for each gateway that ranks before this one.
WRITE_DELAY_SECONDS = 0.6
QUARANTINED = metrics.make_counter(
    'prompt_parts_quarantined', 'Prompt parts found to crash engines.'
)


def make_key(part: int) -> str:
    """Returns the store key of the finding on a part."""
    return f'{PREFIX}{part:016x}'


def _check_hash(value) -> int:
    """Returns a value of a bulletin that is a 64-bit hash.

    Raises:
        ValueError: It is none.
    """
    if type(value) is not int or not 0 <= value < 2**64:
        raise ValueError(f'{value!r} is no hash')
    return value


@dataclasses.dataclass(slots=True)
class Quarantine:
    """A prompt part that is not sent to engines.

    Attributes:
        until: Monotonic time of its end.
        write_at: Monotonic time at which this gateway writes it to the store.
        is_stored: Whether the store has it.
    """

    until: float
    write_at: float = math.inf
    is_stored: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection broke off.

    Attributes:
        report: Report of the crash, if it was one.
        begun_at: Monotonic time at which the response began; 0 unless it had
            just begun.
    """

    report: crash_evidence.CrashReport
    begun_at: float


class HarmfulPromptGuard:
    """Keeps requests that crash engines away from them.

    Args:
        store: Store of the findings.
        board: Exchanges reports and findings with the other gateways.
        members: The other gateways.
    """

    def __init__(
        self,
        store: stores.Store,
        board: bulletins.BulletinBoard,
        members: gateway_membership.GatewayMembership,
    ):
        self._store = store
        self._board = board
        self._members = members
        self._evidence = crash_evidence.CrashEvidence()
        self._quarantines: collections.OrderedDict[int, Quarantine] = (
            collections.OrderedDict()
        )
        # Attempts in progress by part of their prompt.
        self._attempts: dict[
            int,
            dict[anyio.CancelScope, request_context.RequestContext],
        ] = {}
        self._broken: dict[
            str, tuple[backends.Backend, list[BrokenAttempt]]
        ] = {}
        self._has_broken = anyio.Event()
        # Set while there may be something to judge or to store.
        self._is_active = anyio.Event()
        # Parts whose finding in the store was refuted here.
        self._refuted: set[int] = set()
        board.listen(CRASH_KIND, self._read_crash)
        board.listen(PART_KIND, self._read_part)

    def find_reason(
        self, context: request_context.RequestContext
    ) -> str | None:
        """Returns why a request must not be sent, None if it may be."""
        prompt = context.prompt_hashes
        for part in prompt.shared_parts:
            quarantine = self._quarantines.get(part)
            if quarantine is not None and not clock.has_passed(
                quarantine.until
            ):
                return 'a part of the prompt crashes engines'
        if prompt.shared_parts and self._evidence.is_suspect_request(
            prompt.own_part
        ):
            return 'engines crashed as they began to respond to this prompt'
        return None

    @contextlib.contextmanager
    def track(
        self, context: request_context.RequestContext
    ) -> Iterator[anyio.CancelScope]:
        """Cancels its body if a part of the prompt is found harmful.

        An attempt that has responded is left alone.
        """
        parts = context.prompt_hashes.shared_parts
        with anyio.CancelScope() as scope:
            for part in parts:
                self._attempts.setdefault(part, {})[scope] = context
            try:
                yield scope
            finally:
                for part in parts:
                    self._attempts[part].pop(scope, None)
                    if not self._attempts[part]:
                        del self._attempts[part]

    def record_success(self, context: request_context.RequestContext) -> None:
        """Records that an engine has completed the response to a prompt."""
        prompt = context.prompt_hashes
        if not prompt.shared_parts:
            return
        self._evidence.record_success(prompt.own_part)
        for part in prompt.shared_parts:
            was_suspect = self._evidence.record_success(part)
            if was_suspect or part in self._quarantines:
                self._board.publish(
                    PART_KIND, part, (SOUND,), SOUND_TTL_SECONDS
                )
                if self._release(part):
                    self._refuted.add(part)

    def report_break(
        self,
        context: request_context.RequestContext,
        backend: backends.Backend,
    ) -> None:
        """Reports an attempt whose connection broke off.

        Args:
            context: The request.
            backend: Server of the attempt.
        """
        prompt = context.prompt_hashes
        suspects = self._evidence.list_suspects(prompt.shared_parts)
        if not suspects:
            return
        now = clock.now()
        has_begun = context.progress is request_context.Progress.BEGUN or (
            context.progress is request_context.Progress.RESPONDED
            and now - context.responded_at < crash_evidence.BEGINNING_SECONDS
        )
        _, reports = self._broken.setdefault(backend.instance, (backend, []))
        reports.append(
            BrokenAttempt(
                crash_evidence.CrashReport(
                    server=backends.hash_process(backend),
                    request=prompt.own_part,
                    parts=suspects,
                    has_begun=has_begun,
                    crashed_at=now,
                ),
                context.begun_at if has_begun else 0.0,
            )
        )
        self._has_broken.set()

    async def run(self) -> None:
        """Confirms crashes, judges the reports and stores the findings."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._store_findings)
            group.start_soon(self._evaluate_periodically)
            while True:
                await self._has_broken.wait()
                self._has_broken = anyio.Event()
                await anyio.sleep(COLLECT_SECONDS)
                broken, self._broken = self._broken, {}
                for backend, attempts in broken.values():
                    group.start_soon(self._confirm_crash, backend, attempts)

    async def _confirm_crash(self, backend, attempts) -> None:
        """Publishes the reports of a server if it has crashed."""
        has_crashed = await backend_connections.is_refused(
            backend.address, backend.port
        )
        logs.log_decision(
            'server broke off',
            instance=backend.instance,
            crashed=has_crashed,
            begun=sum(attempt.report.has_begun for attempt in attempts),
            others=sum(not attempt.report.has_begun for attempt in attempts),
        )
        if not has_crashed:
            return
        # The cause is among those that have begun last.
        attempts.sort(key=lambda attempt: -attempt.begun_at)
        for attempt in attempts[:MAX_REQUESTS_PER_CRASH]:
            for report in attempt.report.split():
                self._add_report(report)
                self._publish_crash(report)

    def _publish_crash(self, report: crash_evidence.CrashReport) -> None:
        self._board.publish(
            CRASH_KIND,
            report.server ^ report.request ^ report.first_position,
            (
                report.server,
                report.request,
                report.has_begun + 2 * report.first_position,
                *report.parts,
            ),
            crash_evidence.REPORT_TTL_SECONDS,
        )

    def _read_crash(self, bulletin: bulletins.Bulletin) -> None:
        server, request, position_and_begun, *parts = bulletin.value
        first_position, has_begun = divmod(_check_hash(position_and_begun), 2)
        if first_position >= crash_evidence.MAX_PARTS:
            raise ValueError(f'a prompt part at position {first_position}')
        self._add_report(
            crash_evidence.CrashReport(
                _check_hash(server),
                _check_hash(request),
                tuple(_check_hash(part) for part in parts),
                bool(has_begun),
                bulletin.issued_at,
                first_position,
            )
        )

    def _add_report(self, report: crash_evidence.CrashReport) -> None:
        self._evidence.add(report)
        self._is_active.set()

    def _read_part(self, bulletin: bulletins.Bulletin) -> None:
        part = _check_hash(bulletin.key)
        if bulletin.value[0] == HARMFUL:
            self._quarantine(part, bulletin.expires_at)
        else:
            self._evidence.record_success(part, bulletin.issued_at)
            self._release(part)

    async def _wait_until_active(self) -> None:
        """Waits until there are crash reports or findings."""
        is_idle = not (
            self._evidence.has_reports or self._quarantines or self._refuted
        )
        if is_idle and self._is_active.is_set():
            self._is_active = anyio.Event()
        await self._is_active.wait()

    async def _evaluate_periodically(self) -> None:
        while True:
            await self._wait_until_active()
            await anyio.sleep(EVALUATION_INTERVAL_SECONDS)
            for part, quarantine in list(self._quarantines.items()):
                if clock.has_passed(quarantine.until):
                    self._release(part)
            known = frozenset(self._quarantines)
            for part in self._evidence.find_harmful(known):
                self._quarantine(part, clock.make_deadline(QUARANTINE_SECONDS))
                self._board.publish(
                    PART_KIND, part, (HARMFUL,), QUARANTINE_SECONDS
                )

    def _quarantine(self, part: int, until: float) -> None:
        """Refuses a part from now on and cancels attempts with it."""
        known = self._quarantines.get(part)
        if known is not None:
            known.until = max(known.until, until)
            return
        self._is_active.set()
        self._quarantines[part] = Quarantine(
            until,
            clock.make_deadline(
                WRITE_DELAY_SECONDS * self._members.find_rank(make_key(part))
            ),
        )
        if len(self._quarantines) > MAX_QUARANTINED_PARTS:
            self._quarantines.popitem(last=False)
        QUARANTINED.inc()
        logs.log_decision(
            'prompt part found harmful',
            part=f'{part:016x}',
            seconds=round(clock.remaining(until)),
            in_progress=len(self._attempts.get(part, ())),
        )
        for scope, context in self._attempts.get(part, {}).items():
            if context.progress is not request_context.Progress.RESPONDED:
                scope.cancel()

    def _release(self, part: int) -> bool:
        """Ends a quarantine; returns whether there was one."""
        if self._quarantines.pop(part, None) is None:
            return False
        logs.log_decision('prompt part released', part=f'{part:016x}')
        return True

    def apply_change(
        self, change: stores.Change, may_have_expired: bool
    ) -> None:
        """Applies a change of a finding in the store.

        Args:
            change: Change of a key below ``PREFIX``. A finding that was
                removed ends the quarantine.
            may_have_expired: Whether it may be gone only because the store
                was away.

        Raises:
            ProtocolError: The key is malformed.
        """
        name = change.key[len(PREFIX) :]
        if not KEY_NAME.fullmatch(name):
            raise errors.ProtocolError(
                f'malformed key of a prompt part: {change.key!r}'
            )
        part = int(name, 16)
        if change.entry is not None:
            self._quarantine(part, clock.make_deadline(QUARANTINE_SECONDS))
            self._quarantines[part].is_stored = True
        elif part in self._quarantines and not may_have_expired:
            self._board.publish(PART_KIND, part, (SOUND,), SOUND_TTL_SECONDS)
            self._release(part)

    async def _store_findings(self) -> None:
        """Writes findings that are not in the store yet."""
        while True:
            await self._wait_until_active()
            await anyio.sleep(clock.jitter(STORE_INTERVAL_SECONDS))
            for part, quarantine in list(self._quarantines.items()):
                if not quarantine.is_stored and clock.has_passed(
                    quarantine.write_at
                ):
                    quarantine.is_stored = await self._write(part, quarantine)
            for part in list(self._refuted):
                if await self._remove(part):
                    self._refuted.discard(part)

    async def _remove(self, part: int) -> bool:
        """Returns whether the store does not have a finding any more."""
        try:
            entry = await self._store.get(make_key(part))
            if entry is not None:
                await self._store.delete(entry.key, entry.revision)
        except errors.StoreError as exc:
            logs.LOG.info('harmful prompt part not removed: %s', exc)
            return False
        return True

    async def _write(self, part: int, quarantine: Quarantine) -> bool:
        """Returns whether the store has a finding now."""
        seconds = max(1, int(clock.remaining(quarantine.until)))
        try:
            lease = await self._store.grant_lease(seconds)
            await self._store.swap(
                make_key(part),
                json.dumps({'seconds': seconds}).encode(),
                0,
                lease,
            )
        except errors.StoreConflict:
            # Another gateway has written it.
            return True
        except errors.StoreError as exc:
            logs.LOG.info('harmful prompt part not stored: %s', exc)
            quarantine.write_at = clock.make_deadline(
                clock.jitter(WRITE_DELAY_SECONDS)
            )
            return False
        return True
