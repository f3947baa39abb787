"""Actions of operators on single resources, as changes of the resource."""

from collections.abc import Callable
import time

from chivejunction import errors
from chivejunction.protocol import resources

Update = Callable[[dict], dict]
Action = Callable[[dict], Update]

# (kind, action) -> function of the request's arguments that returns the
# function from the present fields of the resource to the changed ones.
ACTIONS: dict[tuple[str, str], Action] = {}


def register_action(kind: str, name: str):
    """Returns a decorator that registers an action on a kind."""

    def add(action: Action) -> Action:
        ACTIONS[kind, name] = action
        return action

    return add


def find_update(kind: str, name: str, arguments: dict) -> Update:
    """Returns the change that an action makes.

    Raises:
        RefusalError: The action is unknown or an argument is not accepted.
    """
    action = ACTIONS.get((kind, name))
    if action is None:
        known = ', '.join(sorted(a for k, a in ACTIONS if k == kind))
        raise errors.RefusalError(
            'invalid_request',
            f'unknown action {name!r} on {kind}; known: {known or "none"}',
        )
    return action(arguments)


def _check_arguments(arguments: dict, *accepted: str) -> None:
    unknown = sorted(set(arguments) - set(accepted))
    if unknown:
        raise errors.RefusalError(
            'invalid_request',
            f'unknown fields {", ".join(unknown)}; '
            f'accepted: {", ".join(accepted) or "none"}',
        )


def _register_plain(kind: str, name: str, **fields) -> None:
    @register_action(kind, name)
    def set_fields(arguments: dict) -> Update:
        _check_arguments(arguments)
        return lambda value: fields


_register_plain('failuredomain', 'drain', state='closed')
_register_plain('failuredomain', 'reopen', state='open')
_register_plain(
    'modelversion', 'withdraw', state='withdrawn', drain_deadline=None
)
_register_plain('modelversion', 'reopen', state='active', drain_deadline=None)
_register_plain('rollout', 'pause', state='paused')


@register_action('modelversion', 'drain')
def drain_version(arguments: dict) -> Update:
    """Drains a version; ``seconds`` is how long sessions keep it."""
    _check_arguments(arguments, 'seconds')
    seconds = arguments.get('seconds')
    if seconds is None:
        return lambda value: {'state': 'draining', 'drain_deadline': None}
    if isinstance(seconds, bool) or not (
        isinstance(seconds, int | float) and seconds >= 0
    ):
        raise errors.RefusalError(
            'invalid_request', 'seconds must be a number, 0 or more'
        )
    deadline = time.time() + seconds
    return lambda value: {'state': 'draining', 'drain_deadline': deadline}


def _find_stage(value: dict) -> dict:
    rollout = resources.Rollout.model_validate(value)
    later = [stage for stage in rollout.stages if stage > rollout.share]
    share = later[0] if later else rollout.share
    state = 'running' if len(later) > 1 else 'complete'
    return {'share': share, 'state': state, 'reason': ''}


def _require_state(value: dict, *accepted: str) -> None:
    state = value.get('state', 'running')
    if state not in accepted:
        raise errors.RefusalError(
            'conflict', f'the rollout is {state}, not {" or ".join(accepted)}'
        )


@register_action('rollout', 'start')
def start_rollout(arguments: dict) -> Update:
    """Starts a rollout at its first stage."""
    _check_arguments(arguments)

    def update(value: dict) -> dict:
        return _find_stage({**value, 'share': 0.0, 'state': 'running'})

    return update


@register_action('rollout', 'advance')
def advance_rollout(arguments: dict) -> Update:
    """Moves a rollout to its next stage."""
    _check_arguments(arguments)

    def update(value: dict) -> dict:
        _require_state(value, 'running', 'paused')
        return _find_stage(value)

    return update


@register_action('rollout', 'resume')
def resume_rollout(arguments: dict) -> Update:
    """Continues a paused rollout at its stage."""
    _check_arguments(arguments)

    def update(value: dict) -> dict:
        _require_state(value, 'paused', 'running')
        return {'state': 'running'}

    return update


@register_action('rollout', 'halt')
def halt_rollout(arguments: dict) -> Update:
    """Takes all sessions back to the old version; ``reason`` is kept."""
    _check_arguments(arguments, 'reason')
    reason = str(arguments.get('reason', 'halted by an operator'))
    return lambda value: {'state': 'halted', 'share': 0.0, 'reason': reason}
