"""Counts faults from client samples, backend server runs and billed usage.

The metrics of the gateways and agents are not used. A refusal of a chat does
not contain an attempt id, so whether a request refused as not run did run is
checked only for calls with a business key.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

# Outcomes of a request with a complete response.
COMPLETE_OUTCOMES = frozenset({'answered', 'crossed', 'wrong_version'})
# Outcomes that guarantee that the request has not run.
NOT_RUN_OUTCOMES = frozenset({'not_run', 'unreachable'})
FAULTS = ('lost', 'doubled', 'cut', 'wrong_version', 'billing_errors')


@dataclasses.dataclass
class Call:
    """One request as observed by its client, including retries.

    Attributes:
        organisation: Organisation that sent it.
        outcome: ``answered``, ``not_run``, ``may_have_run``, ``ran`` (a
            refusal after a run), ``cut``, ``crossed``, ``wrong_version``,
            ``unreachable`` (no connection) or ``lost`` (no response).
        key: Business key, shared by the repeats of a call; empty for chats.
        repeatable: Whether the call may run more than once.
        session: Session id, empty without one.
        version: Model version from the response headers, empty for a plain
            service.
        first_token: Seconds to the first token of a stream, else None.
        started: Seconds from the start of the load, None if unknown.
        attempt: Attempt id from the response headers.
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
    """Counts of a run, with a description of each fault in ``details``."""

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

    def add_fault(self, fault: str, detail: str, count: int = 1) -> None:
        """Counts a fault and records its description.

        Args:
            fault: Name of the field to increase.
            detail: Description of the fault.
            count: Number of faults.
        """
        setattr(self, fault, getattr(self, fault) + count)
        self.details.append(f'{fault}: {detail}')

    def list_faults(self) -> dict[str, int]:
        """Returns the number of faults by kind, without zeros."""
        return {f: getattr(self, f) for f in FAULTS if getattr(self, f)}

    def list_counts(self) -> dict[str, int]:
        """Returns all counts by field, without the details."""
        counts = dataclasses.asdict(self)
        del counts['details']
        return counts


def count_calls(
    calls: Iterable[Call],
    runs: Mapping[str, list[str]],
    billed: Mapping[str, int],
    allowed: Mapping[str, frozenset[str]],
) -> Tally:
    """Returns the counts of a run.

    Args:
        calls: All requests of the clients.
        runs: Attempts that ran on any backend server, by business key.
        billed: Number of billed requests by organisation.
        allowed: Model versions that each organisation may use.
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

    A call without a business key forms its own group, with its index in place
    of the key.
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
    if call.outcome in COMPLETE_OUTCOMES:
        tally.answered += 1
        if call.outcome == 'crossed':
            tally.add_fault(
                'cut', f'{_describe(call)} got the response of another request'
            )
    elif call.outcome in ('may_have_run', 'ran'):
        tally.may_have_run += 1
    elif call.outcome == 'not_run':
        tally.refused_not_run += 1
    elif call.outcome == 'cut':
        tally.add_fault('cut', _describe(call))
    else:
        tally.add_fault('lost', f'{_describe(call)}, {call.outcome}')


def _check_version(
    tally: Tally, call: Call, allowed: Mapping[str, frozenset[str]]
) -> None:
    if call.outcome not in COMPLETE_OUTCOMES:
        return
    allowed_versions = allowed.get(call.organisation, frozenset())
    if call.outcome == 'wrong_version' or (
        call.version and call.version not in allowed_versions
    ):
        tally.add_fault(
            'wrong_version', f'{call.version} for {_describe(call)}'
        )


def _check_sessions(tally: Tally, calls: list[Call]) -> None:
    versions_by_session: dict[tuple[str, str], set[str]] = {}
    for call in calls:
        if call.session and call.version and call.outcome in COMPLETE_OUTCOMES:
            name = (call.organisation, call.session)
            versions_by_session.setdefault(name, set()).add(call.version)
    for (organisation, session), versions in versions_by_session.items():
        if len(versions) > 1:
            tally.add_fault(
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
    is_limited_to_one_run = not all(call.repeatable for call in group)
    if is_limited_to_one_run and len(attempts) > 1:
        tally.add_fault('doubled', f'{name} ran {len(attempts)} times')
    if attempts and all(call.outcome in NOT_RUN_OUTCOMES for call in group):
        tally.add_fault('doubled', f'{name} ran, refused as not run')
    if not attempts and any(
        call.outcome in COMPLETE_OUTCOMES for call in group
    ):
        tally.add_fault('lost', f'{name} got a response without a run')


def _check_bills(
    tally: Tally, groups: dict[tuple, list[Call]], billed: Mapping[str, int]
) -> None:
    minimum: dict[str, int] = {}
    maximum: dict[str, int] = {}
    for (organisation, _), group in groups.items():
        outcomes = {call.outcome for call in group}
        is_complete, may_have_run = (
            bool(outcomes & COMPLETE_OUTCOMES),
            bool(outcomes - NOT_RUN_OUTCOMES),
        )
        minimum[organisation] = minimum.get(organisation, 0) + is_complete
        maximum[organisation] = maximum.get(organisation, 0) + may_have_run
    tally.billed = sum(billed.values())
    for organisation in sorted({*minimum, *billed}):
        count = billed.get(organisation, 0)
        low, high = minimum.get(organisation, 0), maximum.get(organisation, 0)
        error = max(low - count, count - high, 0)
        if error:
            tally.add_fault(
                'billing_errors',
                f'{organisation} is billed for {count} requests, '
                f'expected {low} to {high}',
                error,
            )


def read_outcome(kind: str, code: str) -> str:
    """Returns the outcome of a sample of a load generator.

    Args:
        kind: Kind of the sample.
        code: ``code/verdict`` of a refusal. Without a known verdict, the
            outcome is ``may_have_run``.
    """
    if kind != 'refused':
        return kind
    verdict = code.rpartition('/')[2]
    known = ('not_run', 'may_have_run', 'ran')
    return verdict if verdict in known else 'may_have_run'


def make_chat_call(sample, organisation: str) -> Call:
    """Converts a chat sample of the load generator to a call."""
    return Call(
        organisation,
        read_outcome(sample.kind, sample.code),
        session=sample.session,
        version=sample.version,
        first_token=sample.first_token,
        started=sample.started,
        attempt=sample.attempt,
    )


def make_service_call(sample, organisation: str) -> Call:
    """Converts a sample of a plain service call to a call."""
    return Call(
        organisation,
        read_outcome(sample.kind, sample.code),
        key=sample.key,
        repeatable=sample.method == 'GET',
        attempt=sample.attempt,
    )


def read_billed(usage: Mapping[str, dict]) -> dict[str, int]:
    """Returns the number of billed requests by organisation.

    Args:
        usage: Response of GET /api/v1/usage.
    """
    return {
        organisation: sum(total['requests'] for total in targets.values())
        for organisation, targets in usage['organisations'].items()
    }
