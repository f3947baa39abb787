"""Actions of operators on single resources.

An action, such as draining a version, is registered for a kind of resource.
It parses the arguments of the request and returns the update of the resource.
"""

from collections.abc import Callable
import time

from chivejunction import errors
from chivejunction.coordination import rollouts
from chivejunction.protocol import resources

Update = Callable[[dict], dict]
Action = Callable[[dict], Update]

# Actions by kind and name. An action maps the arguments of a request to an
# update, which maps the current fields of the resource to the changed ones.
ACTIONS: dict[tuple[str, str], Action] = {}


def register_action(kind: str, name: str):
    """Returns a decorator that registers an action for a kind of resource."""

    def decorate(action: Action) -> Action:
        ACTIONS[kind, name] = action
        return action

    return decorate


def make_update(kind: str, name: str, arguments: dict) -> Update:
    """Returns the update that an action makes.

    Args:
        kind: Kind of the resource.
        name: Name of the action.
        arguments: Arguments of the request.

    Raises:
        RefusalError: The action or an argument is unknown, or an argument
            is invalid.
    """
    action = ACTIONS.get((kind, name))
    if action is None:
        available = ', '.join(sorted(a for k, a in ACTIONS if k == kind))
        raise errors.RefusalError(
            'invalid_request',
            f'unknown action {name!r} on {kind}; known: {available or "none"}',
        )
    return action(arguments)


def _check_arguments(arguments: dict, *accepted: str) -> None:
    unknown = sorted(set(arguments) - set(accepted))
    if unknown:
        raise errors.RefusalError(
            'invalid_request',
            f'unknown fields {", ".join(unknown)}; accepted: '
            f'{", ".join(accepted) or "none"}',
        )


def _register_field_update(kind: str, name: str, **fields) -> None:
    """Registers an action without arguments that sets fixed fields."""

    @register_action(kind, name)
    def set_fields(arguments: dict) -> Update:
        _check_arguments(arguments)
        return lambda value: fields


_register_field_update('failuredomain', 'drain', state='closed')
_register_field_update('failuredomain', 'reopen', state='open')
_register_field_update(
    'modelversion', 'withdraw', state='withdrawn', drain_deadline=None
)
_register_field_update(
    'modelversion', 'reopen', state='active', drain_deadline=None
)


@register_action('modelversion', 'drain')
def drain_version(arguments: dict) -> Update:
    """Drains a version; existing sessions may use it for ``seconds``."""
    _check_arguments(arguments, 'seconds')
    seconds = arguments.get('seconds')
    if seconds is None:
        return lambda value: {'state': 'draining', 'drain_deadline': None}
    if isinstance(seconds, bool) or not (
        isinstance(seconds, int | float) and seconds >= 0
    ):
        raise errors.RefusalError(
            'invalid_request',
            'seconds must be a number, 0 or more',
        )
    deadline = time.time() + seconds
    return lambda value: {'state': 'draining', 'drain_deadline': deadline}


def _register_rollout_action(name: str, plan, *accepted: str) -> None:
    """Registers an action on rollouts.

    Args:
        name: Name of the action.
        plan: Returns the changed fields, None for no change. Gateways make
            the same changes through RolloutControl.
        *accepted: Names of the accepted arguments.
    """

    @register_action('rollout', name)
    def change_rollout(arguments: dict) -> Update:
        _check_arguments(arguments, *accepted)

        def update(value: dict) -> dict:
            rollout = resources.Rollout.model_validate(value)
            return plan(rollout, **arguments) or {}

        return update


def _plan_halt(
    rollout: resources.Rollout, reason: object = 'halted by an operator'
) -> dict | None:
    return rollouts.plan_halt(rollout, str(reason))


_register_rollout_action('start', rollouts.plan_start)
_register_rollout_action('advance', rollouts.plan_advance)
_register_rollout_action('pause', rollouts.plan_pause)
_register_rollout_action('resume', rollouts.plan_resume)
_register_rollout_action('halt', _plan_halt, 'reason')
