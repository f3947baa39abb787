"""Checks of the system's invariants on the records of a run.

Each checker returns one line for each violation. Times are wall-clock
seconds; they can be compared, as all processes of a run use the clock
of one host.
"""

import collections
from collections.abc import Callable
import dataclasses
import math

from bench import chaos
from bench import load
from chivejunction import registry

# Time in which a change has to be in force at every agent.
GRACE_SECONDS = 5.0
# Recovery of links and their attempts after a fault: up to the silence limit
# and the time of a new connection.
RECOVERY_SECONDS = 5.0
# Faults that may interrupt a streamed response in a way that the caller
# can detect.
DISRUPTIVE_FAULTS = frozenset(
    {'agent_kill', 'agent_freeze', 'gateway_kill', 'gateway_freeze'}
)
ERROR_MARKERS = (
    'Traceback (most recent call last)',
    'Task exception',
    'was never retrieved',
    'invariant violated',
)

CHECKS: registry.Registry[Callable] = registry.Registry('check')


@dataclasses.dataclass
class Run:
    """One execution of a chat by an engine.

    Attributes:
        agent: Agent beside the engine.
        organisation: Organisation whose credential is in the prompt.
        version: Model version that was run.
        start: Start of the execution.
        attempt: Attempt id.
    """

    agent: str
    organisation: str
    version: str
    start: float
    attempt: str = ''


@dataclasses.dataclass
class ServiceCall:
    """A plain-service call with the outcomes of all its requests.

    Attributes:
        key: Business key, unique for each call.
        repeatable: Whether the call may run more than once.
        organisation: Organisation that is billed.
        outcomes: ``answered``, ``broken``, ``unreachable``, ``crossed`` or
            ``code/verdict`` of a refusal, one for each request.
    """

    key: str
    repeatable: bool
    organisation: str = ''
    outcomes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Bill:
    """Numbers of requests of an organisation.

    Attributes:
        answered: Requests that got a response.
        uncertain: Requests that got no response but may have run.
        billed: Requests in the usage that the operators' API reports.
    """

    answered: int = 0
    uncertain: int = 0
    billed: int = 0


@dataclasses.dataclass
class Reading:
    """Metrics of one process at one time.

    Attributes:
        member: Name of the process.
        pid: Id of the process.
        revision: Configuration revision of the process.
        violations: Invariant violations that the process has counted.
    """

    member: str
    pid: int
    revision: int
    violations: float = 0.0


@dataclasses.dataclass
class Records:
    """Records of a run.

    Attributes:
        allowed: Versions that an organisation may use, by organisation.
        domains: Failure domains by agent.
        gateways: Names of gateways, at the indexes used in samples.
        samples: Chats.
        calls: Plain-service calls.
        runs: Executions of chats by engines.
        service_runs: Attempts that ran, by business key.
        journal: Faults and changes.
        readings: Metrics of the processes, in the order of time.
        final: Revision and resource after the run, by ``kind/name``.
        bills: Numbers of requests by organisation.
        logs: Text of the log by process.
        ended: Processes that ended unexpectedly.
        problems: Errors in the course of the run or the recovery after it.
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
    """Returns all violations, each as ``check: detail``."""
    return [
        f'{name}: {detail}'
        for name in CHECKS
        for detail in CHECKS.get(name)(records)
    ]


def find_spans(
    changes: list[chaos.Change], kind: str, name: str, state: str
) -> list[tuple[float, float]]:
    """Returns the periods in which a resource was certainly in a state.

    A period starts when a change to the state was accepted. It ends when a
    change to another state was sent, or one that was refused or whose result
    is unknown.

    Args:
        changes: Changes of the run.
        kind: Kind of the resource.
        name: Name of the resource.
        state: State of the resource.

    Returns:
        Start and end of each period; the end is infinite if it is open.
    """
    spans = []
    start = None
    matching = [c for c in changes if (c.kind, c.name) == (kind, name)]
    for change in sorted(matching, key=lambda c: c.sent):
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


def is_after_grace(timestamp: float, spans: list[tuple[float, float]]) -> bool:
    """Returns whether a time is in a span, after its grace period."""
    return any(a + GRACE_SECONDS < timestamp < b for a, b in spans)


@CHECKS.register('allowed_version')
def check_allowed_versions(records: Records) -> list[str]:
    """Finds runs on versions that the organisation may not use."""
    return [
        f'{r.organisation!r} ran on {r.version} at {r.agent} ({r.attempt})'
        for r in records.runs
        if r.version not in records.allowed.get(r.organisation, ())
    ]


@CHECKS.register('withdrawn_version')
def check_withdrawn_versions(records: Records) -> list[str]:
    """Finds runs that started on a withdrawn version."""
    changes = records.journal.changes
    spans = {
        v: find_spans(changes, 'modelversion', v, 'withdrawn')
        for v in {r.version for r in records.runs}
    }
    return [
        f'{r.attempt} started on {r.version} at {r.agent}'
        for r in records.runs
        if is_after_grace(r.start, spans[r.version])
    ]


@CHECKS.register('closed_domain')
def check_closed_domains(records: Records) -> list[str]:
    """Finds runs that started in a closed failure domain."""
    changes = records.journal.changes
    spans = {
        d: find_spans(changes, 'failuredomain', d, 'closed')
        for d in set(records.domains.values())
    }
    return [
        f'{r.attempt} started at {r.agent} in {records.domains[r.agent]}'
        for r in records.runs
        if is_after_grace(r.start, spans[records.domains[r.agent]])
    ]


@CHECKS.register('leaving_server')
def check_leaving_servers(records: Records) -> list[str]:
    """Finds runs that started at a server that was shutting down."""
    spans: dict[str, list[tuple[float, float]]] = {}
    for span in records.journal.spans:
        if span.fault == 'agent_restart':
            end = math.inf if span.end is None else span.end
            spans.setdefault(span.target, []).append((span.start, end))
    return [
        f'{r.attempt} started at {r.agent}'
        for r in records.runs
        if is_after_grace(r.start, spans.get(r.agent, []))
    ]


def allows_version_change(
    changes: list[chaos.Change], old: str, new: str
) -> bool:
    """Returns whether a change allows a session to change its version.

    Args:
        changes: Changes that were sent before the end of the response by
            the new version.
        old: Version of the session before.
        new: Version of the session after.
    """
    for change in changes:
        # A change that was refused or whose result is unknown has no
        # resource; it is assumed to allow the version change.
        if (change.kind, change.name) == ('modelversion', old) and (
            change.resource.get('state', 'withdrawn') == 'withdrawn'
        ):
            return True
        # A halted rollout moves all sessions back to its first version.
        if (
            change.kind == 'rollout'
            and change.resource.get('state', 'halted') == 'halted'
            and change.resource.get('to_version', old) == old
            and change.resource.get('from_version', new) == new
        ):
            return True
    return False


@CHECKS.register('session_version')
def check_session_versions(records: Records) -> list[str]:
    """Finds sessions whose version changed without a change that allows it."""
    sessions: dict[tuple[str, str], list[load.Sample]] = {}
    for sample in records.samples:
        if sample.session and sample.version:
            sessions.setdefault(
                (sample.credential, sample.session), []
            ).append(sample)
    violations = []
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
            if not allows_version_change(changes, old.version, new.version):
                violations.append(
                    f'{session} moved from {old.version} ({old.attempt}, '
                    f'{old.began:.2f}) to {new.version} ({new.attempt}, '
                    f'{new.began:.2f}) at response {i + 2}'
                )
    return violations


@CHECKS.register('at_most_once')
def check_at_most_once(records: Records) -> list[str]:
    """Finds calls that ran more than once but must not be repeated."""
    return [
        f'{c.key} ran {len(runs)} times: {runs}, outcomes {c.outcomes}'
        for c in records.calls
        if not c.repeatable
        and len(runs := records.service_runs.get(c.key, [])) > 1
    ]


@CHECKS.register('true_not_run')
def check_not_run(records: Records) -> list[str]:
    """Finds chats and calls that ran but were refused as not run."""
    ran = {r.attempt for r in records.runs}
    violations = [
        f'chat {s.attempt} was refused with {s.code} but ran'
        for s in records.samples
        if s.code.endswith('/not_run') and s.attempt in ran
    ]
    for call in records.calls:
        refused = [o for o in call.outcomes if o.endswith('/not_run')]
        all_refused = len(refused) == len(call.outcomes)
        if refused and all_refused and records.service_runs.get(call.key):
            violations.append(
                f'call {call.key} was refused with {refused} but ran'
            )
    return violations


@CHECKS.register('billed_once')
def check_bills(records: Records) -> list[str]:
    """Finds organisations that are billed for too few or too many requests.

    Usage records may be lost only if a gateway and an agent are killed within
    one flush interval (section 5 of the design page).
    """
    violations = []
    spans = records.journal.spans
    agents = [s.start for s in spans if s.fault == 'agent_kill']
    gateways = [s.start for s in spans if s.fault == 'gateway_kill']
    may_lose = any(
        abs(a - g) <= GRACE_SECONDS for a in agents for g in gateways
    )
    for name, bill in records.bills.items():
        maximum = bill.answered + bill.uncertain
        if bill.billed > maximum or (
            bill.billed < bill.answered and not may_lose
        ):
            violations.append(
                f'{name} is billed for {bill.billed} requests, '
                f'{bill.answered} were answered, at most {maximum} may have '
                'run'
            )
    return violations


@CHECKS.register('whole_answer')
def check_complete_responses(records: Records) -> list[str]:
    """Finds responses that are incomplete without a sign of it, or wrong.

    A response is wrong if it belongs to another request, names a wrong
    version or comes without a run.
    """
    violations = [
        f'chat {s.attempt} of {s.credential}: {s.kind} at {s.began:.2f}'
        for s in records.samples
        if s.kind in ('crossed', 'wrong_version')
        or (s.kind == 'cut' and s.looks_complete)
    ]
    for call in records.calls:
        if 'crossed' in call.outcomes:
            violations.append(
                f'call {call.key} got the response to another call'
            )
        if 'answered' in call.outcomes and call.key not in (
            records.service_runs
        ):
            violations.append(
                f'call {call.key} got a response but did not run'
            )
    return violations


@CHECKS.register('graceful_shutdown')
def check_graceful_shutdown(records: Records) -> list[str]:
    """Finds interrupted responses that no kill or freeze explains.

    Graceful restarts, silent connections, changes of the configuration and
    faults of the store must not interrupt a response.
    """
    violations = []
    for sample in records.samples:
        if sample.kind not in ('cut', 'lost'):
            continue
        gateway = records.gateways[sample.gateway]
        end = sample.began + sample.total
        is_explained = any(
            span.fault in DISRUPTIVE_FAULTS
            and (span.fault.startswith('agent') or span.target == gateway)
            and span.start <= end
            and sample.began
            <= (math.inf if span.end is None else span.end) + RECOVERY_SECONDS
            for span in records.journal.spans
        )
        if not is_explained:
            violations.append(
                f'chat {sample.attempt or "without response head"} through '
                f'{gateway} was interrupted at {end:.2f} after '
                f'{sample.total:.2f} s'
            )
    return violations


@CHECKS.register('config_in_force')
def check_revisions(records: Records) -> list[str]:
    """Finds decreased revisions and accepted changes that were lost."""
    violations = []
    highest: dict[int, int] = {}
    for reading in records.readings:
        previous = highest.get(reading.pid, 0)
        if reading.revision < previous:
            violations.append(
                f'revision of {reading.member} fell from {previous} '
                f'to {reading.revision}'
            )
        highest[reading.pid] = max(previous, reading.revision)
    return (
        violations + find_missing_changes(records) + find_lost_updates(records)
    )


def find_lost_updates(records: Records) -> list[str]:
    """Returns revisions from which more than one change was accepted."""
    accepted = collections.Counter(
        f'{c.kind}/{c.name} at revision {c.expected}'
        for c in records.journal.changes
        if c.accepted is not None and c.expected is not None
    )
    return [
        f'{k}: {n} changes were accepted' for k, n in accepted.items() if n > 1
    ]


def find_missing_changes(records: Records) -> list[str]:
    """Returns differences of the final configuration from its changes."""
    newest: dict[str, chaos.Change] = {}
    uncertain = set()
    for change in records.journal.changes:
        key = f'{change.kind}/{change.name}'
        if change.accepted is None:
            uncertain.add(key)
        elif key not in newest or change.changed_at > newest[key].changed_at:
            newest[key] = change
    violations = []
    for key, change in newest.items():
        final = records.final.get(key, {'changed_at': 0, 'resource': None})
        if final['changed_at'] < change.changed_at:
            violations.append(
                f'{key}: revision {change.changed_at} is missing'
            )
        elif final['changed_at'] == change.changed_at:
            if final['resource'] != change.resource:
                violations.append(
                    f'{key} differs from the resource of its last accepted '
                    'change'
                )
        # Gateways advance rollouts without an operator.
        elif change.kind != 'rollout' and key not in uncertain:
            violations.append(f'{key} changed without a recorded change')
    return violations


@CHECKS.register('invariant_violations_total')
def check_violation_counts(records: Records) -> list[str]:
    """Finds processes that have counted an invariant violation."""
    counts: dict[str, float] = {}
    for reading in records.readings:
        if reading.violations:
            counts[reading.member] = max(
                reading.violations, counts.get(reading.member, 0)
            )
    return [
        f'{name} counted {count:g} violations'
        for name, count in counts.items()
    ]


@CHECKS.register('logs')
def check_logs(records: Records) -> list[str]:
    """Finds exceptions and violations in the logs of the processes."""
    violations = []
    for name, text in records.logs.items():
        lines = [
            line
            for line in text.splitlines()
            if any(marker in line for marker in ERROR_MARKERS)
        ]
        if lines:
            violations.append(
                f'{name}: {len(lines)} error lines, the first: {lines[0]}'
            )
    return violations


@CHECKS.register('ended')
def check_ended_processes(records: Records) -> list[str]:
    """Returns processes that ended unexpectedly."""
    return list(records.ended)


@CHECKS.register('run')
def check_run_problems(records: Records) -> list[str]:
    """Returns problems of the run that no other checker reports."""
    return list(records.problems)
