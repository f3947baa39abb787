"""Checks of what must always hold, on the records of a run.

Each checker returns one line for each violation. Times are wall-clock
seconds; all processes of a run share one machine.
"""

import collections
from collections.abc import Callable
import dataclasses
import math

from bench import chaos
from bench import load
from chivejunction import registry

# A change may take this long until it is in force at every agent.
GRACE_SECONDS = 5.0
# After a fault, links and their attempts take up to the silence limit and a
# new connection to recover.
AFTER_SECONDS = 5.0
# Faults that may visibly break an answer of a stream.
BREAKING = frozenset(
    {'agent_kill', 'agent_freeze', 'gateway_kill', 'gateway_freeze'}
)
LOG_SIGNS = (
    'Traceback (most recent call last)',
    'Task exception',
    'was never retrieved',
    'invariant violated',
)

CHECKS: registry.Registry[Callable] = registry.Registry('check')


@dataclasses.dataclass
class Run:
    """One run of an engine.

    Attributes:
        agent: Agent beside the engine.
        organisation: Organisation that the prompt names.
        version: Version that ran.
        start: Start of the run.
        attempt: Attempt id.
    """

    agent: str
    organisation: str
    version: str
    start: float
    attempt: str = ''


@dataclasses.dataclass
class ServiceCall:
    """A plain-service call with all its sends.

    Attributes:
        key: Business key, unique for each call.
        repeatable: Whether the call may run more than once.
        organisation: Organisation that is billed.
        outcomes: ``answered``, ``broken``, ``unreachable``, ``crossed`` or
            ``code/verdict`` of a refusal, one for each send.
    """

    key: str
    repeatable: bool
    organisation: str = ''
    outcomes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Bill:
    """Requests of an organisation.

    Attributes:
        answered: Requests that were answered.
        uncertain: Requests that may have run without an answer.
        billed: Requests that the operators' API names as usage.
    """

    answered: int = 0
    uncertain: int = 0
    billed: int = 0


@dataclasses.dataclass
class Reading:
    """What one process showed at one time.

    Attributes:
        member: Name of the process.
        pid: Id of the process.
        revision: Its configuration revision.
        violations: Its count of invariant violations.
    """

    member: str
    pid: int
    revision: int
    violations: float = 0.0


@dataclasses.dataclass
class Records:
    """All that a run has recorded.

    Attributes:
        allowed: Organisation to the versions that it may use.
        domains: Agent to failure domain.
        gateways: Gateways by the index that samples carry.
        samples: Chats.
        calls: Plain-service calls.
        runs: Runs of the engines.
        service_runs: Business key to the attempts that ran.
        journal: Faults and changes.
        readings: States of the processes, in the order of time.
        final: ``kind/name`` to the description after the run.
        bills: Organisation to its requests.
        logs: Process to the text of its log.
        ended: Processes that ended without being told to.
        problems: What went wrong in the run or after it.
    """

    allowed: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    domains: dict[str, str] = dataclasses.field(default_factory=dict)
    gateways: list[str] = dataclasses.field(default_factory=list)
    samples: list[load.Sample] = dataclasses.field(default_factory=list)
    calls: list[ServiceCall] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    service_runs: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    journal: chaos.Journal = dataclasses.field(default_factory=chaos.Journal)
    readings: list[Reading] = dataclasses.field(default_factory=list)
    final: dict[str, dict] = dataclasses.field(default_factory=dict)
    bills: dict[str, Bill] = dataclasses.field(default_factory=dict)
    logs: dict[str, str] = dataclasses.field(default_factory=dict)
    ended: list[str] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)


def check_all(records: Records) -> list[str]:
    """Returns ``check: detail`` of all violations."""
    return [
        f'{name}: {detail}'
        for name in CHECKS
        for detail in CHECKS.get(name)(records)
    ]


def find_spans(
    changes: list[chaos.Change], kind: str, name: str, state: str
) -> list[tuple[float, float]]:
    """Returns when a resource surely was in a state.

    A span starts with the acceptance of the state and ends when any other
    change of the resource was sent, accepted or not.
    """
    spans = []
    start = None
    found = [c for c in changes if (c.kind, c.name) == (kind, name)]
    for change in sorted(found, key=lambda c: c.sent):
        if start is not None and (
            change.accepted is None or change.resource.get('state') != state
        ):
            spans.append((start, change.sent))
            start = None
        if (
            start is None
            and change.accepted is not None
            and change.resource.get('state') == state
        ):
            start = change.accepted
    if start is not None:
        spans.append((start, math.inf))
    return spans


def is_late(moment: float, spans: list[tuple[float, float]]) -> bool:
    """Tells whether a moment is in a span after its time of grace."""
    return any(a + GRACE_SECONDS < moment < b for a, b in spans)


@CHECKS.register('allowed_version')
def check_allowed(records: Records) -> list[str]:
    """Finds runs on versions that the organisation may not use."""
    return [
        f'{r.organisation!r} ran on {r.version} at {r.agent} ({r.attempt})'
        for r in records.runs
        if r.version not in records.allowed.get(r.organisation, ())
    ]


@CHECKS.register('withdrawn_version')
def check_withdrawn(records: Records) -> list[str]:
    """Finds runs that started on a withdrawn version."""
    changes = records.journal.changes
    spans = {
        v: find_spans(changes, 'modelversion', v, 'withdrawn')
        for v in {r.version for r in records.runs}
    }
    return [
        f'{r.attempt} started on {r.version} at {r.agent}'
        for r in records.runs
        if is_late(r.start, spans[r.version])
    ]


@CHECKS.register('closed_domain')
def check_closed(records: Records) -> list[str]:
    """Finds runs that started in a closed failure domain."""
    changes = records.journal.changes
    spans = {
        d: find_spans(changes, 'failuredomain', d, 'closed')
        for d in set(records.domains.values())
    }
    return [
        f'{r.attempt} started at {r.agent} in {records.domains[r.agent]}'
        for r in records.runs
        if is_late(r.start, spans[records.domains[r.agent]])
    ]


@CHECKS.register('leaving_server')
def check_leaving(records: Records) -> list[str]:
    """Finds runs that started at a leaving server."""
    spans: dict[str, list[tuple[float, float]]] = {}
    for span in records.journal.spans:
        if span.fault == 'agent_restart':
            end = math.inf if span.end is None else span.end
            spans.setdefault(span.target, []).append((span.start, end))
    return [
        f'{r.attempt} started at {r.agent}'
        for r in records.runs
        if is_late(r.start, spans.get(r.agent, []))
    ]


def may_move(changes: list[chaos.Change], old: str, new: str) -> bool:
    """Tells whether a change lets a session move between two versions.

    Args:
        changes: Changes that were sent before the session's new answer.
        old: Version before.
        new: Version after.
    """
    for change in changes:
        # A change whose result is unknown has no resource.
        if (change.kind, change.name) == ('modelversion', old) and (
            change.resource.get('state', 'withdrawn') == 'withdrawn'
        ):
            return True
        # A halted rollout takes all sessions back to the old version.
        if (
            change.kind == 'rollout'
            and change.resource.get('state', 'halted') == 'halted'
            and change.resource.get('to_version', old) == old
            and change.resource.get('from_version', new) == new
        ):
            return True
    return False


@CHECKS.register('session_version')
def check_sessions(records: Records) -> list[str]:
    """Finds sessions that changed their version without a reason."""
    sessions: dict[tuple[str, str], list[load.Sample]] = {}
    for sample in records.samples:
        if sample.session and sample.version:
            sessions.setdefault(
                (sample.credential, sample.session), []
            ).append(sample)
    found = []
    for (_, session), samples in sessions.items():
        samples.sort(key=lambda s: s.began)
        for i, (old, new) in enumerate(
            zip(samples, samples[1:], strict=False)
        ):
            if old.version == new.version:
                continue
            begin = samples[0].began - GRACE_SECONDS
            changes = [
                c
                for c in records.journal.changes
                if begin <= c.sent <= new.began + new.total
            ]
            if not may_move(changes, old.version, new.version):
                found.append(
                    f'{session} moved from {old.version} ({old.attempt}, '
                    f'{old.began:.2f}) to {new.version} ({new.attempt}, '
                    f'{new.began:.2f}) at its answer {i + 2}'
                )
    return found


@CHECKS.register('at_most_once')
def check_once(records: Records) -> list[str]:
    """Finds calls that must not be repeated and ran more than once."""
    return [
        f'{c.key} ran {len(runs)} times: {runs}, sends {c.outcomes}'
        for c in records.calls
        if not c.repeatable
        and len(runs := records.service_runs.get(c.key, [])) > 1
    ]


@CHECKS.register('true_not_run')
def check_not_run(records: Records) -> list[str]:
    """Finds refused chats and calls that did run all the same."""
    ran = {r.attempt for r in records.runs}
    found = [
        f'chat {s.attempt} was refused with {s.code} and ran'
        for s in records.samples
        if s.code.endswith('/not_run') and s.attempt in ran
    ]
    for call in records.calls:
        refused = [o for o in call.outcomes if o.endswith('/not_run')]
        whole = len(refused) == len(call.outcomes)
        if refused and whole and records.service_runs.get(call.key):
            found.append(f'call {call.key} was refused, {refused}, and ran')
    return found


@CHECKS.register('billed_once')
def check_bills(records: Records) -> list[str]:
    """Finds organisations that are billed too little or too much.

    Records are lost only if a gateway and an agent die within one flush
    interval (section 5 of the design page).
    """
    found = []
    spans = records.journal.spans
    agents = [s.start for s in spans if s.fault == 'agent_kill']
    gateways = [s.start for s in spans if s.fault == 'gateway_kill']
    may_lose = any(
        abs(a - g) <= GRACE_SECONDS for a in agents for g in gateways
    )
    for name, bill in records.bills.items():
        most = bill.answered + bill.uncertain
        if bill.billed > most or (
            bill.billed < bill.answered and not may_lose
        ):
            found.append(
                f'{name} is billed {bill.billed} requests, '
                f'{bill.answered} were answered, {most} may have run'
            )
    return found


@CHECKS.register('whole_answer')
def check_whole(records: Records) -> list[str]:
    """Finds answers that look complete and are not, or are another's."""
    found = [
        f'chat {s.attempt} of {s.credential}: {s.kind} at {s.began:.2f}'
        for s in records.samples
        if s.kind in ('crossed', 'wrong_version')
        or (s.kind == 'cut' and s.looks_complete)
    ]
    for call in records.calls:
        if 'crossed' in call.outcomes:
            found.append(f'call {call.key} got another answer')
        if 'answered' in call.outcomes and call.key not in (
            records.service_runs
        ):
            found.append(f'call {call.key} has an answer without a run')
    return found


@CHECKS.register('graceful_shutdown')
def check_cuts(records: Records) -> list[str]:
    """Finds broken answers that no kill or freeze explains.

    Graceful restarts, silent connections, changes of the configuration and
    faults of the store must not break an answer.
    """
    found = []
    for sample in records.samples:
        if sample.kind not in ('cut', 'lost'):
            continue
        gateway = records.gateways[sample.gateway]
        end = sample.began + sample.total
        excused = any(
            span.fault in BREAKING
            and (span.fault.startswith('agent') or span.target == gateway)
            and span.start <= end
            and sample.began
            <= (math.inf if span.end is None else span.end) + AFTER_SECONDS
            for span in records.journal.spans
        )
        if not excused:
            found.append(
                f'chat {sample.attempt or "without head"} through {gateway} '
                f'broke at {end:.2f} after {sample.total:.2f} s'
            )
    return found


@CHECKS.register('config_in_force')
def check_revisions(records: Records) -> list[str]:
    """Finds revisions that fell and accepted changes that are missing."""
    found = []
    highest: dict[int, int] = {}
    for reading in records.readings:
        known = highest.get(reading.pid, 0)
        if reading.revision < known:
            found.append(
                f'{reading.member} fell from {known} to {reading.revision}'
            )
        highest[reading.pid] = max(known, reading.revision)
    return found + find_missing(records) + find_lost_updates(records)


def find_lost_updates(records: Records) -> list[str]:
    """Returns changes from one state that were both accepted."""
    accepted = collections.Counter(
        f'{c.kind}/{c.name} at revision {c.expected}'
        for c in records.journal.changes
        if c.accepted is not None and c.expected is not None
    )
    return [f'{k}: {n} changes won' for k, n in accepted.items() if n > 1]


def find_missing(records: Records) -> list[str]:
    """Returns accepted changes that the final configuration lacks."""
    newest: dict[str, chaos.Change] = {}
    uncertain = set()
    for change in records.journal.changes:
        key = f'{change.kind}/{change.name}'
        if change.accepted is None:
            uncertain.add(key)
        elif key not in newest or change.changed_at > newest[key].changed_at:
            newest[key] = change
    found = []
    for key, change in newest.items():
        final = records.final.get(key, {'changed_at': 0, 'resource': None})
        if final['changed_at'] < change.changed_at:
            found.append(f'{key}: revision {change.changed_at} is missing')
        elif final['changed_at'] == change.changed_at:
            if final['resource'] != change.resource:
                found.append(f'{key} differs from its accepted change')
        # Gateways move rollouts by themselves.
        elif change.kind != 'rollout' and key not in uncertain:
            found.append(f'{key} was changed by nobody')
    return found


@CHECKS.register('invariant_violations_total')
def check_counters(records: Records) -> list[str]:
    """Finds processes that counted a violation themselves."""
    worst: dict[str, float] = {}
    for reading in records.readings:
        if reading.violations:
            worst[reading.member] = max(
                reading.violations, worst.get(reading.member, 0)
            )
    return [f'{name} counted {count:g}' for name, count in worst.items()]


@CHECKS.register('logs')
def check_logs(records: Records) -> list[str]:
    """Finds exceptions in the logs of the processes."""
    found = []
    for name, text in records.logs.items():
        lines = [
            line
            for line in text.splitlines()
            if any(sign in line for sign in LOG_SIGNS)
        ]
        if lines:
            found.append(f'{name}: {len(lines)} lines, first {lines[0]}')
    return found


@CHECKS.register('ended')
def check_ended(records: Records) -> list[str]:
    """Finds processes that ended by themselves."""
    return list(records.ended)


@CHECKS.register('run')
def check_run(records: Records) -> list[str]:
    """Finds what kept the run from being what it should be."""
    return list(records.problems)
