"""The operators' view of billed usage."""

from collections.abc import Callable
import dataclasses

from starlette import requests
from starlette import responses
from starlette import routing

from chivejunction.coordination import billing
from chivejunction.transport import store_client


class UsageApi:
    """Shows the saved usage of all gateways.

    Args:
        store: Client of the store.
        authenticate: Checks the credential of a request.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        authenticate: Callable[[requests.Request], None],
    ):
        self._store = store
        self._authenticate = authenticate

    def routes(self) -> list[routing.Route]:
        """Returns the routes of the API."""
        return [
            routing.Route('/api/v1/usage', self._show, methods=['GET']),
            routing.Route(
                '/api/v1/usage/{organisation}', self._show, methods=['GET']
            ),
        ]

    async def _show(self, request: requests.Request):
        self._authenticate(request)
        chosen = request.path_params.get('organisation')
        usage = await billing.read_usage(self._store)
        return responses.JSONResponse(
            {
                'organisations': {
                    organisation: {
                        target: dataclasses.asdict(total)
                        for target, total in sorted(targets.items())
                    }
                    for organisation, targets in sorted(usage.items())
                    if chosen in (None, organisation)
                }
            }
        )
