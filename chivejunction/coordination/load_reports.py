"""Polls load reports from the agent's engine."""

from collections.abc import Callable

import anyio

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import admission
from chivejunction.state import windows
from chivejunction.transport import http_client

REQUEST_TIMEOUT_SECONDS = 2.0
# Limits of a list of versions that a heartbeat passes on.
MAX_VERSIONS = 1000
MAX_NAME_LENGTH = 255


def is_name(value) -> bool:
    """Returns whether a value is a text that a heartbeat can pass on."""
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def parse_versions(value) -> list[str] | None:
    """Returns the versions that an engine lists, None without a list.

    What is no name of a version is left out.
    """
    if not isinstance(value, list):
        return None
    return list(filter(is_name, value[:MAX_VERSIONS]))


class LoadReportPoller:
    """Polls ``GET /load`` of an engine.

    The slow start begins again if a report has another incarnation or the
    engine refuses connections. ``versions`` of a report replaces the loaded
    versions that the agent knows; a report without it leaves them unchanged,
    initially those of the settings.

    Args:
        url: Base URL of the engine.
        client: HTTP client for the engine.
        admission_control: Admission control of the agent, updated with the
            loaded versions and whether the engine is reachable.
        window: Concurrency window, reset after a restart of the engine.
        interval_seconds: Time between two polls.
        notify_gateways: Called after a change of the loaded versions.
    """

    def __init__(
        self,
        url: str,
        client: http_client.Client,
        admission_control: admission.AdmissionController,
        window: windows.SlowStartWindow,
        interval_seconds: float,
        notify_gateways: Callable[[], None],
    ):
        self._url = f'{url.rstrip("/")}/load'
        self._client = client
        self._admission = admission_control
        self._window = window
        self._interval_seconds = interval_seconds
        self._notify_gateways = notify_gateways
        self.incarnation = ''
        self.latest: dict = {}

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            containment.expect_progress()
            await self._poll()
            await anyio.sleep(clock.jitter(self._interval_seconds))

    async def _poll(self) -> None:
        try:
            status, report = await self._client.call_json(
                'GET', self._url, clock.make_deadline(REQUEST_TIMEOUT_SECONDS)
            )
        except errors.TransportError as exc:
            if not exc.connected:
                self._admission.is_server_reachable = False
                self._window.reset('the engine refuses connections')
            return
        self._admission.is_server_reachable = True
        if status == 200 and isinstance(report, dict):
            self.apply(report)

    def apply(self, report: dict) -> None:
        """Applies a load report of the engine.

        Args:
            report: JSON object of the response.
        """
        incarnation = str(report.get('incarnation', ''))
        if not is_name(incarnation):
            incarnation = self.incarnation
        if self.incarnation and incarnation != self.incarnation:
            self._window.reset('the engine has a new incarnation')
        self.incarnation = incarnation
        self.latest = report
        versions = parse_versions(report.get('versions'))
        if versions is not None:
            loaded = frozenset(versions)
            if loaded != self._admission.versions:
                logs.LOG.info(
                    'versions loaded by the engine changed to %s',
                    sorted(loaded),
                )
                self._admission.versions = loaded
                self._notify_gateways()
