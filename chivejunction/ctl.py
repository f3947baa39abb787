"""chivejunctionctl: command-line client of the operators' API."""

import contextlib
import json
import pathlib
import sys
import time

import fire
import pydantic
import yaml

import chivejunction
from chivejunction import errors
from chivejunction import operator_client
from chivejunction import settings


class CtlSettings(settings.Settings):
    """Settings of chivejunctionctl."""

    gateway_url: str = pydantic.Field(
        description='URLs of the admin ports of gateways, comma-separated; '
        'the next one is tried when one is down.',
        pattern=r'^https?://[^,\s]+(,https?://[^,\s]+)*$',
    )
    operator_token: str = pydantic.Field(
        description='Credential of the operators.',
        min_length=6,
        json_schema_extra=settings.SECRET,
    )


def _print_json(value) -> None:
    print(json.dumps(value, indent=2, ensure_ascii=False))


def _load_items(path: str) -> list[dict]:
    try:
        text = pathlib.Path(path).read_text()
        documents = list(yaml.safe_load_all(text))
    except (OSError, yaml.YAMLError) as exc:
        raise errors.SettingError(f'{path}: {exc}') from exc
    entries = []
    for document in documents:
        entries += document if isinstance(document, list) else [document]
    items = []
    for number, entry in enumerate(filter(None, entries), 1):
        if not isinstance(entry, dict) or 'kind' not in entry:
            raise errors.SettingError(
                f'{path}: entry {number} has no kind; an entry has kind and '
                'resource, and for a deletion action: delete and name'
            )
        items.append({**entry, 'kind': str(entry['kind']).lower()})
    if not items:
        raise errors.SettingError(f'{path}: no resources')
    return items


class RolloutCommands:
    """Commands that control a rollout.

    Args:
        request_action: Requests an action on a resource, given its kind,
            name, action and arguments.
    """

    def __init__(self, request_action):
        self._request_action = request_action

    def start(self, name: str) -> None:
        """Starts a rollout; its first stage begins within seconds."""
        self._request_action('rollout', name, 'start')

    def advance(self, name: str) -> None:
        """Moves a rollout to its next stage."""
        self._request_action('rollout', name, 'advance')

    def pause(self, name: str) -> None:
        """Pauses a rollout at its current stage."""
        self._request_action('rollout', name, 'pause')

    def resume(self, name: str) -> None:
        """Resumes a paused rollout."""
        self._request_action('rollout', name, 'resume')

    def halt(self, name: str, reason: str = '') -> None:
        """Halts a rollout and moves all sessions back to the old version."""
        arguments = {'reason': reason} if reason else {}
        self._request_action('rollout', name, 'halt', arguments)


class Commands:
    """Commands for operators of chivejunction.

    Example:
        export CHIVEJUNCTION_GATEWAY_URL=http://127.0.0.1:8001
        export CHIVEJUNCTION_OPERATOR_TOKEN=secret
        chivejunctionctl apply -f examples/siamsound.yaml
        chivejunctionctl drain failuredomain bkk-a
        chivejunctionctl watch

    Exit status: 0 for success, 1 if a call was refused or no gateway answered,
    2 for invalid usage.

    Args:
        gateway_url: URLs of the admin ports of gateways, comma-separated
            (CHIVEJUNCTION_GATEWAY_URL).
        operator_token: Credential of the operators
            (CHIVEJUNCTION_OPERATOR_TOKEN).
    """

    def __init__(
        self, gateway_url: str | None = None, operator_token: str | None = None
    ):
        self._flags = {
            'gateway_url': gateway_url,
            'operator_token': operator_token,
        }
        self.rollout = RolloutCommands(self._request_action)

    def _client(self) -> operator_client.OperatorClient:
        ctl_settings = settings.load_settings(CtlSettings, self._flags)
        return operator_client.OperatorClient(
            ctl_settings.gateway_url.split(','), ctl_settings.operator_token
        )

    def _request_action(self, kind, name, action, arguments=None) -> None:
        path = f'{kind.lower()}/{name}/{action}'
        _print_json(self._client().call('POST', path, arguments or {}))

    def apply(self, file: str, expected: int | None = None) -> None:
        """Applies the changes of a JSON or YAML file atomically.

        Args:
            file: File with entries of ``kind`` and ``resource``.
            expected: Revision that the configuration must have, otherwise
                nothing is changed.
        """
        items = _load_items(file)
        response = self._client().call(
            'POST', 'apply', {'items': items}, expected
        )
        for item in response['items']:
            print(f'{item["kind"]}/{item["name"]}')
        print(f'revision {response["revision"]}')

    def get(self, kind: str, name: str) -> None:
        """Shows a resource."""
        _print_json(self._client().call('GET', f'{kind.lower()}/{name}'))

    def list(self, kind: str) -> None:
        """Lists the resources of a kind."""
        _print_json(self._client().call('GET', kind.lower())['items'])

    def status(self) -> None:
        """Shows whether the configuration is in force everywhere."""
        _print_json(self._client().call('GET', 'status'))

    def watch(self, revision: int = 0, seconds: float = 60) -> None:
        """Prints the status until a revision is in force everywhere.

        Args:
            revision: Revision to wait for; the current one by default.
            seconds: Time limit; the exit status is 1 after it.
        """
        deadline = time.monotonic() + seconds
        for status in self._client().stream('watch'):
            print(json.dumps(status), flush=True)
            if status['in_force'] and status['revision'] >= revision:
                return
            if time.monotonic() > deadline:
                break
        raise errors.TransportError(f'not in force after {seconds} s')

    def delete(self, kind: str, name: str, expected: int | None = None):
        """Deletes a resource."""
        _print_json(
            self._client().call(
                'DELETE', f'{kind.lower()}/{name}', expected=expected
            )
        )

    def drain(
        self, kind: str, name: str, seconds: float | None = None
    ) -> None:
        """Takes a failure domain or a version out of service.

        Args:
            kind: ``failuredomain`` or ``modelversion``.
            name: Name of the resource.
            seconds: Time for which sessions stay on a draining version.
        """
        arguments = {} if seconds is None else {'seconds': seconds}
        self._request_action(kind, name, 'drain', arguments)

    def reopen(self, kind: str, name: str) -> None:
        """Returns a failure domain or a version to service."""
        self._request_action(kind, name, 'reopen')

    def withdraw(self, version: str) -> None:
        """Stops new work on a version immediately."""
        self._request_action('modelversion', version, 'withdraw')

    def usage(self, organisation: str = '') -> None:
        """Shows the usage of one organisation, or of all."""
        _print_json(
            self._client().call('GET', f'usage/{organisation}'.rstrip('/'))
        )

    def explain(self, request: str, log: str) -> None:
        """Shows the decisions on a request in order of time.

        Args:
            request: Id of the request, or the X-Request-Id of its response.
            log: File with decision log lines.
        """
        lines = read_decisions(log, 'request', request)
        if not lines:
            for attempt in read_decisions(log, 'attempt', request):
                lines += read_decisions(log, 'request', attempt['request'])
        if not lines:
            raise errors.Error(f'no decision on request {request} in {log}')
        for line in sorted(lines, key=lambda entry: entry.get('time', 0)):
            print(json.dumps(line, ensure_ascii=False))


def read_decisions(log: str, field: str, value: str) -> list[dict]:
    """Returns the decisions in a log whose field has a value.

    Args:
        log: File with decision log lines.
        field: Name of the field.
        value: Value that the field must have.

    Raises:
        SettingError: The file cannot be read.
    """
    lines = []
    try:
        with pathlib.Path(log).open() as stream:
            for text in stream:
                if value not in text:
                    continue
                with contextlib.suppress(ValueError):
                    line = json.loads(text)
                    if line.get(field) == value and 'decision' in line:
                        lines.append(line)
    except OSError as exc:
        raise errors.SettingError(f'{log}: {exc}') from exc
    return lines


def main() -> None:
    """Runs the program."""
    arguments = ['--file' if a == '-f' else a for a in sys.argv[1:]]
    if arguments == ['--version']:
        print(chivejunction.__version__)
        return
    try:
        fire.Fire(Commands, arguments, name='chivejunctionctl')
    except errors.SettingError as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(2) from exc
    except errors.Error as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(1) from exc


if __name__ == '__main__':
    main()
