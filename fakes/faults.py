"""Fault switches that the fakes of backend servers share."""

from collections.abc import Callable

from starlette import requests
from starlette import responses
from starlette import routing


class Faults:
    """Switches under ``/faults``; GET shows them, POST changes some.

    Shares are exact over time: a share of 0.25 hits every fourth call.

    Args:
        on_change: Called after a change; may set switches back.
        **defaults: Switches with their values at the start.
    """

    def __init__(
        self, on_change: Callable[[], None] = lambda: None, **defaults
    ):
        self.values = defaults
        self._on_change = on_change
        self._sums: dict[str, float] = {}

    def __getitem__(self, name: str):
        return self.values[name]

    def hits(self, name: str) -> bool:
        """Tells whether the share of a fault hits the present call."""
        total = self._sums.get(name, 0.0) + self.values[name]
        self._sums[name] = total - 1 if total >= 1 else total
        return total >= 1

    def routes(self) -> list[routing.Route]:
        """Returns the routes of the switches."""
        return [
            routing.Route('/faults', self._show, methods=['GET']),
            routing.Route('/faults', self._change, methods=['POST']),
        ]

    async def _show(self, request: requests.Request):
        return responses.JSONResponse(self.values)

    async def _change(self, request: requests.Request):
        changes = await request.json()
        unknown = sorted(set(changes) - set(self.values))
        if unknown:
            return responses.JSONResponse(
                {'error': f'unknown faults: {unknown}'}, 400
            )
        self.values.update(changes)
        self._on_change()
        return responses.JSONResponse(self.values)
