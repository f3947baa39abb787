"""chivejunctionctl: the operators' command line."""

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


def _show(value) -> None:
    print(json.dumps(value, indent=2, ensure_ascii=False))


def _parse_file(path: str) -> list[dict]:
    try:
        text = pathlib.Path(path).read_text()
        documents = list(yaml.safe_load_all(text))
    except (OSError, yaml.YAMLError) as exc:
        raise errors.SettingError(f'{path}: {exc}') from exc
    found = []
    for document in documents:
        found += document if isinstance(document, list) else [document]
    items = []
    for number, entry in enumerate(filter(None, found), 1):
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
    """Changes of rollouts.

    Args:
        call: Makes an action on a resource.
    """

    def __init__(self, call):
        self._call = call

    def start(self, name: str) -> None:
        """Starts a rollout; its first stage follows after seconds."""
        self._call('rollout', name, 'start')

    def advance(self, name: str) -> None:
        """Moves a rollout to its next stage."""
        self._call('rollout', name, 'advance')

    def pause(self, name: str) -> None:
        """Keeps a rollout at its present stage."""
        self._call('rollout', name, 'pause')

    def resume(self, name: str) -> None:
        """Continues a paused rollout."""
        self._call('rollout', name, 'resume')

    def halt(self, name: str, reason: str = '') -> None:
        """Takes all sessions back to the old version."""
        arguments = {'reason': reason} if reason else {}
        self._call('rollout', name, 'halt', arguments)


class Commands:
    """Commands for operators of chivejunction.

    Example:
        export CHIVEJUNCTION_GATEWAY_URL=http://127.0.0.1:8001
        export CHIVEJUNCTION_OPERATOR_TOKEN=secret
        chivejunctionctl apply -f examples/siamsound.yaml
        chivejunctionctl drain failuredomain bkk-a
        chivejunctionctl watch

    Exit status: 0 done, 1 refused or no gateway answered, 2 wrong usage.

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
        self.rollout = RolloutCommands(self._act)

    def _client(self) -> operator_client.OperatorClient:
        loaded = settings.load_settings(CtlSettings, self._flags)
        return operator_client.OperatorClient(
            loaded.gateway_url.split(','), loaded.operator_token
        )

    def _act(self, kind, name, action, arguments=None) -> None:
        path = f'{kind.lower()}/{name}/{action}'
        _show(self._client().call('POST', path, arguments or {}))

    def apply(self, file: str, expected: int | None = None) -> None:
        """Makes all changes of a JSON or YAML file, or none.

        Args:
            file: File with entries of ``kind`` and ``resource``.
            expected: Revision that the configuration must have.
        """
        items = _parse_file(file)
        answer = self._client().call(
            'POST', 'apply', {'items': items}, expected
        )
        for item in answer['items']:
            print(f'{item["kind"]}/{item["name"]}')
        print(f'revision {answer["revision"]}')

    def get(self, kind: str, name: str) -> None:
        """Shows a resource."""
        _show(self._client().call('GET', f'{kind.lower()}/{name}'))

    def list(self, kind: str) -> None:
        """Lists the resources of a kind."""
        _show(self._client().call('GET', kind.lower())['items'])

    def status(self) -> None:
        """Shows whether the configuration is in force everywhere."""
        _show(self._client().call('GET', 'status'))

    def watch(self, revision: int = 0, seconds: float = 60) -> None:
        """Shows who lags until a revision is in force everywhere.

        Args:
            revision: Revision to wait for; the present one by default.
            seconds: Longest time to wait; exit status 1 afterwards.
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
        _show(
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
            seconds: How long sessions keep a version.
        """
        arguments = {} if seconds is None else {'seconds': seconds}
        self._act(kind, name, 'drain', arguments)

    def reopen(self, kind: str, name: str) -> None:
        """Takes a failure domain or a version into service again."""
        self._act(kind, name, 'reopen')

    def withdraw(self, version: str) -> None:
        """Stops all new work of a version at once."""
        self._act('modelversion', version, 'withdraw')

    def usage(self, organisation: str = '') -> None:
        """Shows the usage of organisations."""
        _show(self._client().call('GET', f'usage/{organisation}'.rstrip('/')))

    def explain(self, request: str, log: str) -> None:
        """Shows the decisions on a request in order.

        Args:
            request: Id of the request, or the X-Request-Id of its answer.
            log: File with decision log lines.
        """
        lines = read_decisions(log, 'request', request)
        if not lines:
            for attempt in read_decisions(log, 'attempt', request):
                lines += read_decisions(log, 'request', attempt['request'])
        if not lines:
            raise errors.Error(f'no decision on request {request} in {log}')
        for line in sorted(lines, key=lambda found: found.get('time', 0)):
            print(json.dumps(line, ensure_ascii=False))


def read_decisions(log: str, field: str, value: str) -> list[dict]:
    """Returns the decision lines of a log with a value in a field.

    Args:
        log: File with decision log lines.
        field: Name of the field.
        value: Value to look for.

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
