"""HTTP API through which operators read billed usage."""

from collections.abc import Callable
import dataclasses

from starlette import requests
from starlette import responses
from starlette import routing

from chivejunction.coordination import billing
from chivejunction.transport import store_client


class UsageApi:
    """Serves the usage that all gateways have saved to the store.

    Args:
        store: Client of the store.
        authenticate: Raises an error if a request lacks a valid credential.
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
            routing.Route('/api/v1/usage', self._get_usage, methods=['GET']),
            routing.Route(
                '/api/v1/usage/{organisation}',
                self._get_usage,
                methods=['GET'],
            ),
        ]

    async def _get_usage(self, request: requests.Request):
        self._authenticate(request)
        organisation_filter = request.path_params.get('organisation')
        usage = await billing.read_usage(self._store)
        return responses.JSONResponse(
            {
                'organisations': {
                    organisation: {
                        target: dataclasses.asdict(total)
                        for target, total in sorted(targets.items())
                    }
                    for organisation, targets in sorted(usage.items())
                    if organisation_filter in (None, organisation)
                }
            }
        )
