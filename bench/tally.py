"""Counts faults from what clients saw, what servers ran and what was billed.

No figure comes from the routers' own metrics. A refusal of a chat names no
attempt, so whether its run was really absent is counted for calls with a
business key only.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

# Outcomes of a request whose answer came whole.
WHOLE = frozenset({'answered', 'crossed', 'wrong_version'})
# Outcomes after which the request certainly has not run.
UNRUN = frozenset({'not_run', 'unreachable'})
FAULTS = ('lost', 'doubled', 'cut', 'wrong_version', 'billing_errors')


@dataclasses.dataclass
class Call:
    """One request as its client saw it, over all gateways it was sent to.

    Attributes:
        organisation: Organisation that sent it.
        outcome: ``answered``, ``not_run``, ``may_have_run``, ``ran`` (a
            refusal after a run), ``cut``, ``crossed``, ``wrong_version``,
            ``unreachable`` (no connection) or ``lost`` (no answer).
        key: Business key; repeats of one call share it. Empty for chats.
        repeatable: Whether the call may run more than once.
        session: Id of the session, empty without one.
        version: Version that the answer names, empty for a plain service.
        first_token: Seconds to the first token of a stream, else None.
        started: Seconds from the start of the load, None if unknown.
        attempt: Attempt that the answer names.
    """

    organisation: str
    outcome: str
    key: str = ''
    repeatable: bool = True
    session: str = ''
    version: str = ''
    first_token: float | None = None
    started: float | None = None
    attempt: str = ''


@dataclasses.dataclass
class Tally:
    """Counts of a run; ``details`` names what is behind each fault."""

    requests: int = 0
    answered: int = 0
    refused_not_run: int = 0
    may_have_run: int = 0
    lost: int = 0
    doubled: int = 0
    cut: int = 0
    wrong_version: int = 0
    billed: int = 0
    billing_errors: int = 0
    details: list[str] = dataclasses.field(default_factory=list)

    def add(self, fault: str, detail: str, count: int = 1) -> None:
        """Counts a fault."""
        setattr(self, fault, getattr(self, fault) + count)
        self.details.append(f'{fault}: {detail}')

    def list_faults(self) -> dict[str, int]:
        """Returns the faults that were counted."""
        return {f: getattr(self, f) for f in FAULTS if getattr(self, f)}

    def figures(self) -> dict[str, int]:
        """Returns the counts without the details."""
        found = dataclasses.asdict(self)
        del found['details']
        return found


def count_calls(
    calls: Iterable[Call],
    runs: Mapping[str, list[str]],
    billed: Mapping[str, int],
    allowed: Mapping[str, frozenset[str]],
) -> Tally:
    """Returns the counts of a run.

    Args:
        calls: All requests that clients sent.
        runs: Business key to the attempts that ran, over all servers.
        billed: Organisation to its billed requests.
        allowed: Organisation to the versions it may use.
    """
    calls = list(calls)
    tally = Tally(requests=len(calls))
    for call in calls:
        _count_outcome(tally, call)
        _check_version(tally, call, allowed)
    _check_sessions(tally, calls)
    groups = group_calls(calls)
    for (organisation, key), group in groups.items():
        if key and not isinstance(key, int):
            _check_runs(tally, organisation, key, group, runs.get(key, []))
    _check_bills(tally, groups, billed)
    return tally


def group_calls(calls: list[Call]) -> dict[tuple, list[Call]]:
    """Returns the calls by organisation and business key.

    A call without a business key is a group of its own under its number.
    """
    groups: dict[tuple, list[Call]] = {}
    for number, call in enumerate(calls):
        name = (call.organisation, call.key or number)
        groups.setdefault(name, []).append(call)
    return groups


def _describe(call: Call) -> str:
    name = call.key or call.session or 'chat'
    text = f'{name} of {call.organisation}'
    if call.started is not None:
        text += f' sent at {call.started:.1f} s'
    return f'{text}, attempt {call.attempt}' if call.attempt else text


def _count_outcome(tally: Tally, call: Call) -> None:
    if call.outcome in WHOLE:
        tally.answered += 1
        if call.outcome == 'crossed':
            tally.add('cut', f'{_describe(call)} got another answer')
    elif call.outcome in ('may_have_run', 'ran'):
        tally.may_have_run += 1
    elif call.outcome == 'not_run':
        tally.refused_not_run += 1
    elif call.outcome == 'cut':
        tally.add('cut', _describe(call))
    else:
        tally.add('lost', f'{_describe(call)}, {call.outcome}')


def _check_version(
    tally: Tally, call: Call, allowed: Mapping[str, frozenset[str]]
) -> None:
    if call.outcome not in WHOLE:
        return
    permitted = allowed.get(call.organisation, frozenset())
    if call.outcome == 'wrong_version' or (
        call.version and call.version not in permitted
    ):
        tally.add('wrong_version', f'{call.version} for {_describe(call)}')


def _check_sessions(tally: Tally, calls: list[Call]) -> None:
    used: dict[tuple[str, str], set[str]] = {}
    for call in calls:
        if call.session and call.version and call.outcome in WHOLE:
            name = (call.organisation, call.session)
            used.setdefault(name, set()).add(call.version)
    for (organisation, session), versions in used.items():
        if len(versions) > 1:
            tally.add(
                'wrong_version',
                f'session {session} of {organisation}: {sorted(versions)}',
            )


def _check_runs(
    tally: Tally,
    organisation: str,
    key: str,
    group: list[Call],
    attempts: list[str],
) -> None:
    name = f'{key} of {organisation}'
    once = not all(call.repeatable for call in group)
    if once and len(attempts) > 1:
        tally.add('doubled', f'{name} ran {len(attempts)} times')
    if attempts and all(call.outcome in UNRUN for call in group):
        tally.add('doubled', f'{name} ran, refused as not run')
    if not attempts and any(call.outcome in WHOLE for call in group):
        tally.add('lost', f'{name} was answered without a run')


def _check_bills(
    tally: Tally, groups: dict[tuple, list[Call]], billed: Mapping[str, int]
) -> None:
    least: dict[str, int] = {}
    most: dict[str, int] = {}
    for (organisation, _), group in groups.items():
        outcomes = {call.outcome for call in group}
        whole, open_ended = bool(outcomes & WHOLE), bool(outcomes - UNRUN)
        least[organisation] = least.get(organisation, 0) + whole
        most[organisation] = most.get(organisation, 0) + open_ended
    tally.billed = sum(billed.values())
    for organisation in sorted({*least, *billed}):
        count = billed.get(organisation, 0)
        low, high = least.get(organisation, 0), most.get(organisation, 0)
        error = max(low - count, count - high, 0)
        if error:
            tally.add(
                'billing_errors',
                f'{organisation} is billed {count} of {low} to {high}',
                error,
            )


def read_outcome(kind: str, code: str) -> str:
    """Returns the outcome of a sample of the load generator.

    Args:
        kind: Kind of the sample.
        code: ``code/verdict`` of a refusal. A refusal without a verdict may
            have run.
    """
    if kind != 'refused':
        return kind
    verdict = code.rpartition('/')[2]
    known = ('not_run', 'may_have_run', 'ran')
    return verdict if verdict in known else 'may_have_run'


def from_chat(sample, organisation: str) -> Call:
    """Returns the call of a sample of bench.load."""
    return Call(
        organisation,
        read_outcome(sample.kind, sample.code),
        session=sample.session,
        version=sample.version,
        first_token=sample.first_token,
        started=sample.started,
        attempt=sample.attempt,
    )


def from_desk(sample, organisation: str) -> Call:
    """Returns the call of a sample of bench.desk."""
    return Call(
        organisation,
        read_outcome(sample.kind, sample.code),
        key=sample.key,
        repeatable=sample.method == 'GET',
        attempt=sample.attempt,
    )


def read_billed(usage: Mapping[str, dict]) -> dict[str, int]:
    """Returns billed requests by organisation.

    Args:
        usage: Answer of GET /api/v1/usage.
    """
    return {
        organisation: sum(total['requests'] for total in targets.values())
        for organisation, targets in usage['organisations'].items()
    }
