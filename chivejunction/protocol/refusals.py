"""Stable refusal codes with their HTTP status."""

import dataclasses
import json
import math

from chivejunction import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """HTTP status of a refusal code and its default Retry-After.

    ``retry_after`` is in seconds; None means that a retry does not help.
    """

    status: int
    retry_after: float | None = None


REFUSALS: dict[str, Refusal] = {
    'invalid_request': Refusal(400),
    'invalid_resource': Refusal(400),
    'unknown_kind': Refusal(400),
    'unauthenticated': Refusal(401),
    'version_not_allowed': Refusal(403),
    'service_not_allowed': Refusal(403),
    'forbidden': Refusal(403),
    'not_found': Refusal(404),
    'unknown_model': Refusal(404),
    'method_not_allowed': Refusal(405),
    'request_timeout': Refusal(408),
    'conflict': Refusal(409),
    'duplicate': Refusal(409),
    'version_withdrawn': Refusal(410),
    'too_large': Refusal(413),
    'key_reused': Refusal(422),
    'rate_limited': Refusal(429, 1),
    'overloaded': Refusal(503, 1),
    'no_server': Refusal(503, 1),
    'leaving': Refusal(503, 1),
    'not_ready': Refusal(503, 1),
    'store_unavailable': Refusal(503, 5),
    'result_unknown': Refusal(503, 1),
    'server_failed': Refusal(502),
    'deadline': Refusal(504),
    'internal': Refusal(500),
}


def render_refusal(
    error: errors.RefusalError,
) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and JSON body for a refused request."""
    entry = REFUSALS.get(error.code, Refusal(503, 1))
    retry_after = error.retry_after
    if retry_after is None:
        retry_after = entry.retry_after
    headers = {'content-type': 'application/json'}
    if retry_after is not None:
        headers['retry-after'] = str(max(1, math.ceil(retry_after)))
    body = {
        'error': {
            'type': 'chivejunction_error',
            'code': error.code,
            'message': error.detail,
            'verdict': error.verdict.label,
        }
    }
    return entry.status, headers, json.dumps(body).encode()
