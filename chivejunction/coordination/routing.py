"""Choice of the model version for a request."""

import dataclasses

from chivejunction import errors
from chivejunction.protocol import chat
from chivejunction.state import calls
from chivejunction.state import views


@dataclasses.dataclass(slots=True)
class Plan:
    """Versions to try in order until the quality target is met.

    Attributes:
        steps: Names of versions, the first one to run first.
        expected_cost: Expected cost of the plan in cost units.
        excluded: Version name to the reason it was left out.
    """

    steps: list[str]
    expected_cost: float = 0.0
    excluded: dict[str, str] = dataclasses.field(default_factory=dict)


class Router:
    """Chooses versions by allowance, state, quality and cost.

    Args:
        view: Configuration of the gateway.
    """

    def __init__(self, view: views.ConfigView):
        self._view = view

    def plan(self, call: calls.Call) -> Plan:
        """Returns the plan for a call.

        Raises:
            RefusalError: No version may serve the call.
        """
        view = self._view
        excluded = {}
        usable = []
        for version in self._candidates(call):
            if not view.is_allowed(call.organisation, version.name):
                excluded[version.name] = 'not allowed'
            elif not view.takes_new_work(version.name):
                excluded[version.name] = str(version.state)
            else:
                usable.append(version)
        if not usable:
            code = 'version_not_allowed' if excluded else 'unknown_model'
            raise errors.RefusalError(
                code, f'no version of {call.model} may serve the request'
            )
        usable.sort(key=lambda v: v.output_cost)
        return Plan([usable[0].name], usable[0].output_cost, excluded)

    def _candidates(self, call: calls.Call) -> list:
        view = self._view
        if call.model == chat.AUTO_MODEL:
            return list(view.versions.values())
        if call.model in view.versions:
            return [view.versions[call.model]]
        return view.versions_by_model.get(call.model, [])
