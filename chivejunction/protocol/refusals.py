"""Refusal codes, their HTTP status and the responses made from them."""

import dataclasses
import json
import math

from chivejunction import errors
from chivejunction.protocol import verdicts


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
    'referenced': Refusal(409),
    'version_withdrawn': Refusal(410),
    'too_large': Refusal(413),
    'key_reused': Refusal(422),
    'headers_too_large': Refusal(431),
    'rate_limited': Refusal(429, 1),
    'over_share': Refusal(429, 1),
    'overloaded': Refusal(503, 1),
    'no_server': Refusal(503, 1),
    'leaving': Refusal(503, 1),
    'not_ready': Refusal(503, 1),
    'store_unavailable': Refusal(503, 5),
    'harmful_prompt': Refusal(503, 600),
    'result_unknown': Refusal(503, 1),
    'server_failed': Refusal(502),
    'deadline': Refusal(504),
    'internal': Refusal(500),
}

ERROR_TYPES = {
    401: 'authentication_error',
    403: 'permission_error',
    404: 'not_found_error',
    429: 'rate_limit_error',
}


def render_refusal(
    error: errors.RefusalError,
) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and JSON body for a refused request."""
    refusal = REFUSALS.get(error.code, Refusal(503, 1))
    retry_after = error.retry_after
    if retry_after is None:
        retry_after = refusal.retry_after
    headers = {'content-type': 'application/json'}
    if retry_after is not None:
        headers['retry-after'] = str(max(1, math.ceil(retry_after)))
    if error.verdict is not verdicts.Verdict.NOT_RUN:
        # Clients of the OpenAI API retry on their own unless this is set.
        headers['x-should-retry'] = 'false'
    body = {
        'error': {
            'type': get_error_type(refusal.status),
            'code': error.code,
            'message': error.detail,
            'param': None,
            'verdict': error.verdict.label,
        }
    }
    return refusal.status, headers, json.dumps(body).encode()


def get_error_type(status: int) -> str:
    """Returns the error type of the OpenAI API for an HTTP status."""
    default = 'server_error' if status >= 500 else 'invalid_request_error'
    return ERROR_TYPES.get(status, default)
