"""Load reports of the agent's own engine."""

from collections.abc import Callable

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import admission
from chivejunction.state import windows
from chivejunction.transport import http_client

CALL_SECONDS = 2.0


class LoadReports:
    """Polls ``GET /load`` of an engine.

    A report that names another incarnation, and an engine that refuses
    connections, begin the slow start again. ``versions`` of a report
    replaces what the agent knows to be loaded; a report without it leaves
    the versions of the settings.

    Args:
        url: Base URL of the engine.
        client: HTTP client for the engine.
        gate: Admission, told which versions are loaded.
        window: Concurrency window, reset after a restart.
        seconds: Seconds between two reports.
        announce: Tells the gateways of versions that have changed.
    """

    def __init__(
        self,
        url: str,
        client: http_client.Client,
        gate: admission.AdmissionController,
        window: windows.SlowStartWindow,
        seconds: float,
        announce: Callable[[], None],
    ):
        self._url = f'{url.rstrip("/")}/load'
        self._client = client
        self._gate = gate
        self._window = window
        self._seconds = seconds
        self._announce = announce
        self.incarnation = ''
        self.latest: dict = {}

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self._poll()
            await anyio.sleep(clock.jitter(self._seconds))

    async def _poll(self) -> None:
        try:
            status, report = await self._client.call_json(
                'GET', self._url, clock.make_deadline(CALL_SECONDS)
            )
        except errors.TransportError as exc:
            if not exc.connected:
                self._gate.is_server_reachable = False
                self._window.reset('the engine refuses connections')
            return
        self._gate.is_server_reachable = True
        if status == 200 and isinstance(report, dict):
            self.apply(report)

    def apply(self, report: dict) -> None:
        """Takes over a report of the engine."""
        incarnation = str(report.get('incarnation', ''))
        if self.incarnation and incarnation != self.incarnation:
            self._window.reset('the engine has another incarnation')
        self.incarnation = incarnation
        self.latest = report
        versions = report.get('versions')
        if isinstance(versions, list):
            loaded = frozenset(map(str, versions))
            if loaded != self._gate.versions:
                logs.LOG.info('loaded versions: %s', sorted(loaded))
                self._gate.versions = loaded
                self._announce()
