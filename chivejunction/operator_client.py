"""Client of the operators' API that fails over between gateways."""

from collections.abc import Iterator
import json
import uuid

import httpcore

from chivejunction import errors

CALL_TIMEOUT_SECONDS = 15.0
CONNECT_TIMEOUT_SECONDS = 2.0


class ApiError(errors.Error):
    """The gateway responded to a call with an error.

    Args:
        status: HTTP status.
        body: Decoded JSON body of the response.
    """

    def __init__(self, status: int, body: dict):
        error = body.get('error', {}) if isinstance(body, dict) else {}
        text = f'{error.get("code", status)}: {error.get("message", body)}'
        if isinstance(body, dict) and 'current' in body:
            text += f'\ncurrent state: {json.dumps(body["current"])}'
        super().__init__(text)
        self.status = status


class OperatorClient:
    """Client of the operators' API.

    Each change carries an id, so that it is applied only once if the response
    is lost and the change is sent again to the next gateway.

    Args:
        urls: Base URLs of the gateways' admin ports, tried in order.
        token: Credential of the operators.
    """

    def __init__(self, urls: list[str], token: str):
        self._urls = [url.rstrip('/') for url in urls]
        self._headers = {'authorization': f'Bearer {token}'}

    def call(
        self,
        method: str,
        path: str,
        value=None,
        expected: int | None = None,
    ) -> dict:
        """Calls the API and returns the decoded body of the response.

        Args:
            method: HTTP method.
            path: Path below ``/api/v1/``.
            value: JSON body, or None.
            expected: Configuration revision for If-Match, or None.

        Raises:
            ApiError: The gateway responded with an error.
            TransportError: No gateway responded.
        """
        headers = {**self._headers, 'change-id': uuid.uuid4().hex}
        if expected is not None:
            headers['if-match'] = f'"{expected}"'
        content = b'' if value is None else json.dumps(value).encode()
        failures = []
        for url in self._urls:
            try:
                response = httpcore.request(
                    method,
                    f'{url}/api/v1/{path}',
                    headers=headers,
                    content=content,
                    extensions=self._make_timeouts(CALL_TIMEOUT_SECONDS),
                )
                body = json.loads(response.content or b'null')
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
                httpcore.UnsupportedProtocol,
                ValueError,
            ) as exc:
                failures.append(f'{url}: {exc!r}')
                continue
            if response.status >= 400:
                raise ApiError(response.status, body)
            return body
        raise errors.TransportError(
            'no gateway answered; ' + _format_failures(failures)
        )

    def stream(self, path: str) -> Iterator[dict]:
        """Yields the decoded JSON lines of a streamed response.

        If the stream ends or fails, it is opened at the next gateway.

        Args:
            path: Path below ``/api/v1/``.

        Raises:
            ApiError: The gateway responded with an error.
            TransportError: No gateway responded, or all streams ended.
        """
        failures = []
        for url in self._urls:
            try:
                with httpcore.stream(
                    'GET',
                    f'{url}/api/v1/{path}',
                    headers=self._headers,
                    extensions=self._make_timeouts(None),
                ) as response:
                    if response.status >= 400:
                        raise ApiError(
                            response.status, json.loads(response.read())
                        )
                    yield from self._read_lines(response)
                failures.append(f'{url}: the stream ended')
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
                httpcore.UnsupportedProtocol,
            ) as exc:
                failures.append(f'{url}: {exc!r}')
        raise errors.TransportError(
            'no gateway answered; ' + _format_failures(failures)
        )

    @staticmethod
    def _read_lines(response) -> Iterator[dict]:
        pending = b''
        for chunk in response.iter_stream():
            *lines, pending = (pending + chunk).split(b'\n')
            for line in filter(None, lines):
                yield json.loads(line)

    @staticmethod
    def _make_timeouts(read: float | None) -> dict:
        return {
            'timeout': {
                'connect': CONNECT_TIMEOUT_SECONDS,
                'read': read,
                'write': CALL_TIMEOUT_SECONDS,
                'pool': CALL_TIMEOUT_SECONDS,
            }
        }


def _format_failures(failures: list[str]) -> str:
    return '; '.join(failures) or 'no gateway URL is configured'
