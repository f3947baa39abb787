"""Hosts of the deployment and the revisions that they have applied.

Agents and gateways report to the gateways that they exchange with. Each
gateway publishes two rows about the hosts that report to it, and all gateways
pass rows on: the names of the hosts, which change rarely, and a short status,
which changes with each configuration change.
"""

from collections.abc import Iterable
import dataclasses

from chivejunction import clock

LIVE = 'live'
LEAVING = 'leaving'
SILENT = 'silent'
GONE = 'gone'

# A report says how long its sender waits until the next one at most; after
# that and this margin in seconds the host counts as silent.
REPORT_MARGIN = 4.0
# Time in seconds for the rows of other gateways to show a silent host.
MOVED_SECONDS = 5.0
# How long a host that is gone is still named.
GONE_SECONDS = 600.0
MAX_LAGGING = 50
# Bytes of a status row on the wire, and the part of the budget for control
# traffic (bytes/s) that rows without news may use; see refresh_seconds.
ROW_BYTES = 60
IDLE_ROW_BYTES_PER_SECOND = 800
MIN_REFRESH_SECONDS = 4.0


@dataclasses.dataclass(slots=True)
class Report:
    """What a host last said about itself in an exchange.

    Attributes:
        role: ``agent`` or ``gateway``.
        incarnation: Incarnation of the process.
        born: Start of the process in milliseconds since the epoch; orders
            the incarnations of a host.
        state: LIVE or LEAVING.
        revision: Applied configuration revision.
        deadline: When the host counts as silent.
    """

    role: str
    incarnation: str
    born: int
    state: str
    revision: int
    deadline: float


@dataclasses.dataclass(slots=True)
class StatusRow:
    """Status of a gateway and of the hosts that report to it.

    ``minimum`` is the lowest revision among these hosts and the gateway;
    ``lagging`` names those below ``revision``, at most MAX_LAGGING of them.
    ``hosts_sequence`` tells for which HostsRow it was made. ``refresh`` is
    the time in seconds after which the next one comes at the latest.
    """

    gateway: str
    born: int
    sequence: int
    region: str
    state: str
    revision: int
    minimum: int
    lagging: list[str]
    hosts_sequence: int
    refresh: float

    @property
    def order(self) -> tuple[int, int]:
        """Orders the rows of a gateway."""
        return self.born, self.sequence

    def has_news_since(self, old: 'StatusRow') -> bool:
        """Tells whether it says more than that the gateway is alive."""
        return (
            dataclasses.replace(
                self, sequence=old.sequence, refresh=old.refresh
            )
            != old
        )

    def confirms(self, host: str, revision: int) -> bool:
        """Tells whether a host has applied a revision."""
        if self.minimum >= revision:
            return True
        return (
            self.revision >= revision
            and host not in self.lagging
            and len(self.lagging) < MAX_LAGGING
        )


@dataclasses.dataclass(slots=True)
class HostsRow:
    """Hosts that report to a gateway: host -> [born, state]."""

    gateway: str
    born: int
    sequence: int
    hosts: dict[str, list]

    @property
    def order(self) -> tuple[int, int]:
        """Orders the rows of a gateway."""
        return self.born, self.sequence


ROW_TYPES = {'s': StatusRow, 'h': HostsRow}


@dataclasses.dataclass(slots=True)
class _Stored:
    row: StatusRow | HostsRow
    counter: int
    deadline: float


def refresh_seconds(gateways: int) -> float:
    """Returns how often a gateway repeats a status row without news.

    Each gateway receives and sends the rows of all others about twice, so
    the interval grows with their number to keep the bytes constant.
    """
    return max(
        MIN_REFRESH_SECONDS,
        4 * gateways * ROW_BYTES / IDLE_ROW_BYTES_PER_SECOND,
    )


class MemberTable:
    """What a gateway knows about all hosts.

    Args:
        host: Name of this gateway.
        born: Start of this process in milliseconds since the epoch.
    """

    def __init__(self, host: str, born: int):
        self.host = host
        self.region = ''
        self.reports: dict[str, Report] = {}
        self.counter = 0
        # Counter of the last row that was more than a repetition.
        self.news_counter = 0
        self._born = born
        self._rows: dict[tuple[str, str], _Stored] = {}
        self._left: dict[str, float] = {}
        self._listed: set[str] = set()

    def set_listed(self, hosts: Iterable[str]) -> None:
        """Takes over the names of the host list, a hint of who exists."""
        self._listed = set(hosts)

    def hear(self, sender: str, incarnation: str, body: dict) -> bool:
        """Takes over the report of a host.

        Args:
            sender: Name of the host.
            incarnation: Incarnation of its process.
            body: Body of its message; see coordination.spread.

        Returns:
            Whether it changes what is known about the host. A report of an
            earlier incarnation than the known one is ignored.
        """
        old = self.reports.get(sender)
        if old is not None and body['b'] < old.born:
            return False
        was_silent = old is not None and clock.has_passed(old.deadline)
        state = body['t']
        if old is not None and old.born == body['b']:
            # Nothing takes back that a process leaves.
            state = LEAVING if LEAVING in (old.state, state) else state
        self.reports[sender] = Report(
            'agent' if body['a'] == 'a' else 'gateway',
            incarnation,
            body['b'],
            state,
            body['r'],
            clock.make_deadline(body['h'] + REPORT_MARGIN),
        )
        return (
            old is None
            or was_silent
            or (old.born, old.state, old.revision)
            != (body['b'], state, body['r'])
        )

    def is_leaving(self, host: str) -> bool:
        """Tells whether the last process of a host said that it leaves."""
        report = self.reports.get(host)
        return report is not None and report.state == LEAVING

    def live_gateways(self, region: str) -> list[str]:
        """Returns the gateways of a region that are known to be alive."""
        found = {
            name
            for (kind, name), stored in self._rows.items()
            if kind == 's'
            and not clock.has_passed(stored.deadline)
            and stored.row.region == region
            and stored.row.state == LIVE
        }
        return sorted(found | {self.host})

    def count_gateways(self) -> int:
        """Returns how many gateways have published a status."""
        return max(1, sum(kind == 's' for kind, _ in self._rows))

    def refresh(self, revision: int, state: str) -> bool:
        """Brings the rows of this gateway up to date.

        Args:
            revision: Revision that this gateway has applied.
            state: LIVE or LEAVING, of this gateway.

        Returns:
            Whether a row was changed or repeated.
        """
        self._drop_moved()
        hosts = {
            name: [report.born, self._judge(name, report)]
            for name, report in self.reports.items()
            if report.role == 'agent'
        }
        old = self._rows.get(('h', self.host))
        sequence = old.row.sequence if old else 0
        has_news = False
        if old is None or old.row.hosts != hosts:
            sequence += 1
            self._store('h', HostsRow(self.host, self._born, sequence, hosts))
            has_news = True
        live = {n for n, (_, s) in hosts.items() if s in (LIVE, LEAVING)}
        lagging = sorted(
            n for n in live if self.reports[n].revision < revision
        )
        minimum = min([revision, *(self.reports[n].revision for n in live)])
        return self._refresh_status(
            has_news,
            StatusRow(
                self.host,
                self._born,
                0,
                self.region,
                state,
                revision,
                minimum,
                lagging[:MAX_LAGGING],
                sequence,
                refresh_seconds(self.count_gateways()),
            ),
        )

    def _refresh_status(self, has_news: bool, row: StatusRow) -> bool:
        old = self._rows.get(('s', self.host))
        if old is not None:
            row.sequence = old.row.sequence
            if not row.has_news_since(old.row) and not clock.has_passed(
                old.deadline
            ):
                return has_news
        row.sequence += 1
        self._store('s', row)
        self._rows['s', self.host].deadline = clock.make_deadline(row.refresh)
        return True

    def _judge(self, host: str, report: Report) -> str:
        if not clock.has_passed(report.deadline):
            return report.state
        if report.state == LEAVING or (
            self._listed and host not in self._listed
        ):
            return GONE
        return SILENT

    def _drop_moved(self) -> None:
        """Forgets silent hosts that report to another gateway by now."""
        for name, report in list(self.reports.items()):
            if not clock.has_passed(report.deadline):
                continue
            if clock.has_passed(report.deadline + GONE_SECONDS) or any(
                other.gateway != self.host
                and self._is_moved(name, report, other)
                for other in self._fresh_host_rows()
            ):
                del self.reports[name]

    @staticmethod
    def _is_moved(host: str, report: Report, row: HostsRow) -> bool:
        born, state = row.hosts.get(host, (0, GONE))
        if state not in (LIVE, LEAVING):
            return False
        if born > report.born:
            return True
        # Gateways that hear the last report together must not each take the
        # other's old row for a sign of life.
        return (
            born == report.born
            and report.state == LIVE
            and clock.has_passed(report.deadline + MOVED_SECONDS)
        )

    def _fresh_host_rows(self) -> list[HostsRow]:
        return [
            stored.row
            for (kind, name), stored in self._rows.items()
            if kind == 'h' and self._is_fresh(name)
        ]

    def _is_fresh(self, gateway: str) -> bool:
        if gateway == self.host:
            return True
        stored = self._rows.get(('s', gateway))
        return stored is not None and not clock.has_passed(stored.deadline)

    def _store(self, kind: str, row: StatusRow | HostsRow) -> None:
        self.counter += 1
        old = self._rows.get((kind, row.gateway))
        if old is None or kind == 'h' or row.has_news_since(old.row):
            self.news_counter = self.counter
        seconds = 3 * row.refresh + 2 if kind == 's' else GONE_SECONDS
        self._rows[kind, row.gateway] = _Stored(
            row, self.counter, clock.make_deadline(seconds)
        )

    def list_rows(self, cursor: int, peer: str) -> list[list]:
        """Returns the rows that were stored after a cursor, for a peer."""
        found = sorted(
            (stored.counter, kind, stored.row)
            for (kind, name), stored in self._rows.items()
            if stored.counter > cursor
            and (name != peer or self._is_ahead(peer, stored.row))
        )
        return [[kind, *dataclasses.astuple(row)] for _, kind, row in found]

    def _is_ahead(self, host: str, row: StatusRow | HostsRow) -> bool:
        """Tells whether a row hides those of a host's present process."""
        report = self.reports.get(host)
        return report is not None and report.born < row.born

    def merge_rows(self, rows: list[list]) -> bool:
        """Takes over the rows of a peer that are newer than the known ones.

        Returns:
            Whether any row was newer.
        """
        before = self.counter
        for kind, *fields in rows:
            row = ROW_TYPES[kind](*fields)
            if row.gateway == self.host:
                # An earlier process of this host was born "later", by a
                # clock that was ahead. Its rows must not win.
                if row.born > self._born:
                    self._born = row.born + 1
                continue
            old = self._rows.get((kind, row.gateway))
            if old is None or old.row.order < row.order:
                self._store(kind, row)
        return self.counter != before

    def describe(self, revision: int) -> dict:
        """Returns how far a revision is in force.

        Returns:
            ``in_force`` and the names of the hosts that are alive and have
            not confirmed (``lagging``), that nobody hears (``missing``) and
            that have left or are neither heard nor listed (``gone``).
        """
        found: dict[str, list[str]] = {'lagging': [], 'missing': [], GONE: []}
        for host, state in sorted(self._judge_hosts(revision).items()):
            if state != 'confirmed':
                found[state].append(host)
        return {
            'revision': revision,
            'in_force': not found['lagging'] and not found['missing'],
            **found,
        }

    def _judge_hosts(self, revision: int) -> dict[str, str]:
        judged = dict.fromkeys(self._listed, 'missing')
        evidence: dict[str, list[tuple[int, str]]] = {}
        for (kind, gateway), stored in self._rows.items():
            if kind == 's':
                judged[gateway] = self._judge_gateway(stored, revision)
            else:
                self._collect(evidence, gateway, stored.row, revision)
        for host, states in evidence.items():
            newest = max(born for born, _ in states)
            known = {state for born, state in states if born == newest}
            for state in (GONE, 'confirmed', 'lagging', 'missing'):
                if state in known:
                    judged[host] = state
                    break
        return judged

    def _judge_gateway(self, stored: _Stored, revision: int) -> str:
        row = stored.row
        if row.gateway == self.host or not clock.has_passed(stored.deadline):
            return 'confirmed' if row.revision >= revision else 'lagging'
        if row.state == LEAVING or (
            self._listed and row.gateway not in self._listed
        ):
            return GONE
        return 'missing'

    def _collect(self, evidence, gateway, row: HostsRow, revision) -> None:
        status = self._rows.get(('s', gateway))
        is_fresh = self._is_fresh(gateway)
        for host, (born, state) in row.hosts.items():
            if state == GONE:
                judged = GONE
            elif state == SILENT or not is_fresh:
                judged = 'missing'
                if self._listed and host not in self._listed:
                    judged = GONE
            elif (
                status is not None
                and status.row.hosts_sequence >= row.sequence
                and status.row.born == row.born
                and status.row.confirms(host, revision)
            ):
                judged = 'confirmed'
            else:
                judged = 'lagging'
            evidence.setdefault(host, []).append((born, judged))
