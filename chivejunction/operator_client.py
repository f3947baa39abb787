"""Calls of the operators' API, with several gateways to try."""

from collections.abc import Iterator
import json
import uuid

import httpcore

from chivejunction import errors

CALL_SECONDS = 15.0
CONNECT_SECONDS = 2.0


class ApiError(errors.Error):
    """The gateway refused a call.

    Args:
        status: HTTP status.
        body: Decoded body.
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

    A change carries an id, so that it is made once although the next gateway
    is tried after a lost answer.

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
        """Makes a call; returns the decoded body.

        Args:
            method: HTTP method.
            path: Path below ``/api/v1/``.
            value: JSON body, or None.
            expected: Revision for If-Match, or None.

        Raises:
            ApiError: The call was refused.
            TransportError: No gateway answered.
        """
        headers = {**self._headers, 'change-id': uuid.uuid4().hex}
        if expected is not None:
            headers['if-match'] = f'"{expected}"'
        content = b'' if value is None else json.dumps(value).encode()
        failures = []
        for url in self._urls:
            try:
                answer = httpcore.request(
                    method,
                    f'{url}/api/v1/{path}',
                    headers=headers,
                    content=content,
                    extensions=self._timeouts(CALL_SECONDS),
                )
                body = json.loads(answer.content or b'null')
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
                httpcore.UnsupportedProtocol,
                ValueError,
            ) as exc:
                failures.append(f'{url}: {exc!r}')
                continue
            if answer.status >= 400:
                raise ApiError(answer.status, body)
            return body
        raise errors.TransportError('no gateway answered; ' + _join(failures))

    def stream(self, path: str) -> Iterator[dict]:
        """Yields the JSON lines of a stream.

        Raises:
            ApiError: The call was refused.
            TransportError: No gateway answered, or the stream ended.
        """
        failures = []
        for url in self._urls:
            try:
                with httpcore.stream(
                    'GET',
                    f'{url}/api/v1/{path}',
                    headers=self._headers,
                    extensions=self._timeouts(None),
                ) as answer:
                    if answer.status >= 400:
                        raise ApiError(
                            answer.status, json.loads(answer.read())
                        )
                    yield from self._read_lines(answer)
                failures.append(f'{url}: the stream ended')
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
                httpcore.UnsupportedProtocol,
            ) as exc:
                failures.append(f'{url}: {exc!r}')
        raise errors.TransportError('no gateway answered; ' + _join(failures))

    @staticmethod
    def _read_lines(answer) -> Iterator[dict]:
        pending = b''
        for chunk in answer.iter_stream():
            *lines, pending = (pending + chunk).split(b'\n')
            for line in filter(None, lines):
                yield json.loads(line)

    @staticmethod
    def _timeouts(read: float | None) -> dict:
        return {
            'timeout': {
                'connect': CONNECT_SECONDS,
                'read': read,
                'write': CALL_SECONDS,
                'pool': CALL_SECONDS,
            }
        }


def _join(failures: list[str]) -> str:
    return '; '.join(failures) or 'none was given'
