"""Fault switches shared by the fake backend servers."""

from collections.abc import Callable

from starlette import requests
from starlette import responses
from starlette import routing


class Faults:
    """Fault switches with the path ``/faults``.

    GET returns all switches, POST sets some. Shares are deterministic: a
    share of 0.25 triggers the fault on every fourth call.

    Args:
        on_change: Called after a change; may reset switches.
        **defaults: Initial values of the switches.
    """

    def __init__(
        self, on_change: Callable[[], None] = lambda: None, **defaults
    ):
        self.values = defaults
        self._on_change = on_change
        self._accumulated_shares: dict[str, float] = {}

    def __getitem__(self, name: str):
        return self.values[name]

    def is_triggered(self, name: str) -> bool:
        """Counts a call and returns whether it triggers the fault.

        Args:
            name: Name of a switch that is a share, 0 to 1.
        """
        total = self._accumulated_shares.get(name, 0.0) + self.values[name]
        self._accumulated_shares[name] = total - 1 if total >= 1 else total
        return total >= 1

    def routes(self) -> list[routing.Route]:
        """Returns the routes of the switches."""
        return [
            routing.Route('/faults', self._get, methods=['GET']),
            routing.Route('/faults', self._update, methods=['POST']),
        ]

    async def _get(self, request: requests.Request):
        return responses.JSONResponse(self.values)

    async def _update(self, request: requests.Request):
        changes = await request.json()
        unknown = sorted(set(changes) - set(self.values))
        if unknown:
            return responses.JSONResponse(
                {'error': f'unknown faults: {unknown}'}, 400
            )
        self.values.update(changes)
        self._on_change()
        return responses.JSONResponse(self.values)
