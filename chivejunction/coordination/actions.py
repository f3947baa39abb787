"""Actions of operators on single resources, as changes of the resource."""

from collections.abc import Callable
import time

from chivejunction import errors
from chivejunction.coordination import rollouts
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


def _register_rollout(name: str, plan, *accepted: str) -> None:
    """Registers a change that gateways make by RolloutControl as well."""

    @register_action('rollout', name)
    def change_rollout(arguments: dict) -> Update:
        _check_arguments(arguments, *accepted)

        def update(value: dict) -> dict:
            rollout = resources.Rollout.model_validate(value)
            return plan(rollout, **arguments) or {}

        return update


def _halt(
    rollout: resources.Rollout, reason: object = 'halted by an operator'
) -> dict | None:
    return rollouts.plan_halt(rollout, str(reason))


_register_rollout('start', rollouts.plan_start)
_register_rollout('advance', rollouts.plan_advance)
_register_rollout('pause', rollouts.plan_pause)
_register_rollout('resume', rollouts.plan_resume)
_register_rollout('halt', _halt, 'reason')
