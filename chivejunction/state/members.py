"""Hosts of the deployment and the revisions that they have applied.

Agents and gateways report to the gateways that they exchange with. Each
gateway publishes two rows about the hosts that report to it, which all
gateways forward to each other: a row with the names of the hosts, which
changes rarely, and a short status row, which changes with each configuration
change.
"""

from collections.abc import Iterable
import dataclasses

from chivejunction import clock

LIVE = 'live'
LEAVING = 'leaving'
SILENT = 'silent'
GONE = 'gone'

# A report states the longest time until the next one. Once that time and this
# margin have passed, the host counts as silent.
REPORT_MARGIN_SECONDS = 4.0
# Time for the rows of other gateways to show that a host is silent there too.
MOVE_DETECTION_SECONDS = 5.0
# How long a host that is gone is still listed as gone.
GONE_RETENTION_SECONDS = 600.0
# Number of lagging hosts that a status row names.
MAX_LAGGING_NAMES = 50
# Size of a status row on the wire, and the part of the budget for control
# traffic that repeated rows may use; see compute_refresh_interval.
ROW_BYTES = 60
IDLE_ROW_BYTES_PER_SECOND = 800
MIN_REFRESH_INTERVAL_SECONDS = 4.0


@dataclasses.dataclass(slots=True)
class Report:
    """Last report of a host about itself.

    Attributes:
        role: ``agent`` or ``gateway``.
        incarnation: Incarnation of the process.
        born: Start of the process in milliseconds since the epoch; orders
            the incarnations of a host.
        state: LIVE or LEAVING.
        revision: Applied configuration revision.
        deadline: Monotonic time from which the host counts as silent.
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

    On the wire the fields are packed in this order.

    Attributes:
        gateway: Name of the gateway.
        born: Start of its process in milliseconds since the epoch.
        sequence: Number of the row among those of the process.
        region: Region of the gateway.
        state: LIVE or LEAVING.
        revision: Revision that the gateway has applied.
        minimum: Lowest revision among the gateway and these hosts.
        lagging: Hosts below ``revision``, at most MAX_LAGGING_NAMES of them.
        hosts_sequence: Sequence of the HostsRow that it belongs to.
        refresh: Longest time in seconds until the next status row.
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
        """Sort key for the rows of a gateway; the newest one is last."""
        return self.born, self.sequence

    def has_changes_since(self, previous: 'StatusRow') -> bool:
        """Returns whether it is more than a repetition of a previous row."""
        return (
            dataclasses.replace(
                self, sequence=previous.sequence, refresh=previous.refresh
            )
            != previous
        )

    def confirms(self, host: str, revision: int) -> bool:
        """Returns whether it confirms that a host has applied a revision.

        A full list of lagging hosts may be cut off, so that it confirms no
        host that is not in it.
        """
        if self.minimum >= revision:
            return True
        return (
            self.revision >= revision
            and host not in self.lagging
            and len(self.lagging) < MAX_LAGGING_NAMES
        )


@dataclasses.dataclass(slots=True)
class HostsRow:
    """Hosts that report to a gateway.

    On the wire the fields are packed in this order.

    Attributes:
        gateway: Name of the gateway.
        born: Start of its process in milliseconds since the epoch.
        sequence: Number of the row among those of the process.
        hosts: By name, the start of the host's process and its state, one of
            LIVE, LEAVING, SILENT and GONE.
    """

    gateway: str
    born: int
    sequence: int
    hosts: dict[str, list]

    @property
    def order(self) -> tuple[int, int]:
        """Sort key for the rows of a gateway; the newest one is last."""
        return self.born, self.sequence


ROW_TYPES = {'s': StatusRow, 'h': HostsRow}


@dataclasses.dataclass(slots=True)
class _StoredRow:
    """A row of the table.

    Attributes:
        row: The row.
        counter: Counter of the table when the row was stored.
        deadline: Monotonic time at which the row expires.
    """

    row: StatusRow | HostsRow
    counter: int
    deadline: float


def compute_refresh_interval(gateways: int) -> float:
    """Returns the interval in seconds at which status rows are repeated.

    Each gateway receives and sends the rows of all others about twice, so
    the interval grows with their number to keep the traffic constant.

    Args:
        gateways: Number of gateways.
    """
    return max(
        MIN_REFRESH_INTERVAL_SECONDS,
        4 * gateways * ROW_BYTES / IDLE_ROW_BYTES_PER_SECOND,
    )


class MemberTable:
    """Reports and rows that a gateway has received about all hosts.

    Args:
        host: Name of this gateway.
        born: Start of this process in milliseconds since the epoch.

    Attributes:
        region: Region of this gateway.
        reports: Last reports of the hosts that report to this gateway.
        counter: Number of rows stored so far; cursors refer to it.
        change_counter: Counter of the last row that was not a repetition.
    """

    def __init__(self, host: str, born: int):
        self.host = host
        self.region = ''
        self.reports: dict[str, Report] = {}
        self.counter = 0
        self.change_counter = 0
        self._born = born
        self._rows: dict[tuple[str, str], _StoredRow] = {}
        self._listed: set[str] = set()

    def set_listed_hosts(self, hosts: Iterable[str]) -> None:
        """Replaces the names of the host list.

        The list may lag, so it only indicates which hosts exist.
        """
        self._listed = set(hosts)

    def record_report(self, sender: str, incarnation: str, body: dict) -> bool:
        """Records the report of a host.

        A report of an earlier incarnation than the recorded one is ignored.

        Args:
            sender: Name of the host.
            incarnation: Incarnation of its process.
            body: Body of its request; see coordination.config_sync.

        Returns:
            Whether the recorded incarnation, state or revision changed or the
            host was silent before.
        """
        previous = self.reports.get(sender)
        if previous is not None and body['b'] < previous.born:
            return False
        was_silent = previous is not None and clock.has_passed(
            previous.deadline
        )
        state = body['t']
        if previous is not None and previous.born == body['b']:
            # A process that is leaving does not become live again.
            state = LEAVING if LEAVING in (previous.state, state) else state
        self.reports[sender] = Report(
            'agent' if body['a'] == 'a' else 'gateway',
            incarnation,
            body['b'],
            state,
            body['r'],
            clock.make_deadline(body['h'] + REPORT_MARGIN_SECONDS),
        )
        return (
            previous is None
            or was_silent
            or (previous.born, previous.state, previous.revision)
            != (body['b'], state, body['r'])
        )

    def is_leaving(self, host: str) -> bool:
        """Returns whether the last process of a host reported leaving."""
        report = self.reports.get(host)
        return report is not None and report.state == LEAVING

    def list_live_gateways(self, region: str) -> list[str]:
        """Returns the live gateways of a region, this one included."""
        live = {
            name
            for (kind, name), stored in self._rows.items()
            if kind == 's'
            and not clock.has_passed(stored.deadline)
            and stored.row.region == region
            and stored.row.state == LIVE
        }
        return sorted(live | {self.host})

    def count_gateways(self) -> int:
        """Returns the number of gateways with a status row, at least 1."""
        return max(1, sum(kind == 's' for kind, _ in self._rows))

    def refresh(self, revision: int, state: str) -> bool:
        """Recomputes the rows of this gateway.

        Args:
            revision: Revision that this gateway has applied.
            state: State of this gateway, LIVE or LEAVING.

        Returns:
            Whether a row was changed or repeated.
        """
        self._delete_moved_hosts()
        hosts = {
            name: [report.born, self._classify_host(name, report)]
            for name, report in self.reports.items()
            if report.role == 'agent'
        }
        previous = self._rows.get(('h', self.host))
        sequence = previous.row.sequence if previous else 0
        has_changed = False
        if previous is None or previous.row.hosts != hosts:
            sequence += 1
            self._store_row(
                'h', HostsRow(self.host, self._born, sequence, hosts)
            )
            has_changed = True
        reporting = {n for n, (_, s) in hosts.items() if s in (LIVE, LEAVING)}
        lagging = sorted(
            n for n in reporting if self.reports[n].revision < revision
        )
        minimum = min(
            [revision, *(self.reports[n].revision for n in reporting)]
        )
        return self._refresh_status_row(
            has_changed,
            StatusRow(
                self.host,
                self._born,
                0,
                self.region,
                state,
                revision,
                minimum,
                lagging[:MAX_LAGGING_NAMES],
                sequence,
                compute_refresh_interval(self.count_gateways()),
            ),
        )

    def _refresh_status_row(self, has_changed: bool, row: StatusRow) -> bool:
        previous = self._rows.get(('s', self.host))
        if previous is not None:
            row.sequence = previous.row.sequence
            if not row.has_changes_since(
                previous.row
            ) and not clock.has_passed(previous.deadline):
                return has_changed
        row.sequence += 1
        self._store_row('s', row)
        self._rows['s', self.host].deadline = clock.make_deadline(row.refresh)
        return True

    def _classify_host(self, host: str, report: Report) -> str:
        if not clock.has_passed(report.deadline):
            return report.state
        if report.state == LEAVING or (
            self._listed and host not in self._listed
        ):
            return GONE
        return SILENT

    def _delete_moved_hosts(self) -> None:
        """Deletes reports of silent hosts that now report elsewhere.

        Reports of hosts that have been silent for GONE_RETENTION_SECONDS are
        deleted too.
        """
        for name, report in list(self.reports.items()):
            if not clock.has_passed(report.deadline):
                continue
            if clock.has_passed(
                report.deadline + GONE_RETENTION_SECONDS
            ) or any(
                other.gateway != self.host
                and self._has_moved(name, report, other)
                for other in self._list_fresh_hosts_rows()
            ):
                del self.reports[name]

    @staticmethod
    def _has_moved(host: str, report: Report, row: HostsRow) -> bool:
        born, state = row.hosts.get(host, (0, GONE))
        if state not in (LIVE, LEAVING):
            return False
        if born > report.born:
            return True
        # A host may have sent its last report to several gateways at once.
        # None of them may conclude from an old row of another that the host
        # is alive there, so wait until that row shows it as silent.
        return (
            born == report.born
            and report.state == LIVE
            and clock.has_passed(report.deadline + MOVE_DETECTION_SECONDS)
        )

    def _list_fresh_hosts_rows(self) -> list[HostsRow]:
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

    def _store_row(self, kind: str, row: StatusRow | HostsRow) -> None:
        self.counter += 1
        previous = self._rows.get((kind, row.gateway))
        if (
            previous is None
            or kind == 'h'
            or row.has_changes_since(previous.row)
        ):
            self.change_counter = self.counter
        ttl_seconds = (
            3 * row.refresh + 2 if kind == 's' else GONE_RETENTION_SECONDS
        )
        self._rows[kind, row.gateway] = _StoredRow(
            row, self.counter, clock.make_deadline(ttl_seconds)
        )

    def list_rows(self, cursor: int, peer: str) -> list[list]:
        """Returns the rows that a peer has not received yet.

        The peer's own rows are left out, except those of an earlier process
        that hide the rows of its present one, see merge_rows.

        Args:
            cursor: Value of ``counter`` up to which the peer has the rows.
            peer: Name of the peer.

        Returns:
            For each row its kind and then its fields.
        """
        unsent = sorted(
            (stored.counter, kind, stored.row)
            for (kind, name), stored in self._rows.items()
            if stored.counter > cursor
            and (name != peer or self._blocks_new_process(peer, stored.row))
        )
        return [[kind, *dataclasses.astuple(row)] for _, kind, row in unsent]

    def _blocks_new_process(
        self, host: str, row: StatusRow | HostsRow
    ) -> bool:
        """Returns whether a row hides those of a host's present process.

        It does so if the clock of the host has been set back since.
        """
        report = self.reports.get(host)
        return report is not None and report.born < row.born

    def merge_rows(self, rows: list[list]) -> bool:
        """Stores the rows of a peer that are newer than the stored ones.

        Args:
            rows: For each row its kind and then its fields.

        Returns:
            Whether any row was newer.
        """
        counter_before = self.counter
        for kind, *fields in rows:
            row = ROW_TYPES[kind](*fields)
            if row.gateway == self.host:
                # An earlier process of this host had a later start time,
                # because its clock was ahead. The rows of this process must
                # replace its rows.
                if row.born > self._born:
                    self._born = row.born + 1
                continue
            stored = self._rows.get((kind, row.gateway))
            if stored is None or stored.row.order < row.order:
                self._store_row(kind, row)
        return self.counter != counter_before

    def get_revision_status(self, revision: int) -> dict:
        """Returns on which hosts a revision is not in force.

        Returns:
            ``revision``, whether it is in force on all hosts (``in_force``),
            and the names of the hosts that are alive and have not confirmed
            it (``lagging``), of those that no gateway receives reports from
            (``missing``), and of those that have left or are neither listed
            nor reporting (``gone``).
        """
        hosts: dict[str, list[str]] = {'lagging': [], 'missing': [], GONE: []}
        for host, state in sorted(self._classify_hosts(revision).items()):
            if state != 'confirmed':
                hosts[state].append(host)
        return {
            'revision': revision,
            'in_force': not hosts['lagging'] and not hosts['missing'],
            **hosts,
        }

    def _classify_hosts(self, revision: int) -> dict[str, str]:
        """Returns the state of each host with regard to a revision.

        Gateways may differ about a host. Only what they state about its newest
        process counts, and of that the first state in the order below.
        """
        states = dict.fromkeys(self._listed, 'missing')
        reported: dict[str, list[tuple[int, str]]] = {}
        for (kind, gateway), stored in self._rows.items():
            if kind == 's':
                states[gateway] = self._classify_gateway(stored, revision)
            else:
                self._add_host_states(reported, gateway, stored.row, revision)
        for host, reported_states in reported.items():
            newest = max(born for born, _ in reported_states)
            candidates = {
                state for born, state in reported_states if born == newest
            }
            for state in (GONE, 'confirmed', 'lagging', 'missing'):
                if state in candidates:
                    states[host] = state
                    break
        return states

    def _classify_gateway(self, stored: _StoredRow, revision: int) -> str:
        row = stored.row
        if row.gateway == self.host or not clock.has_passed(stored.deadline):
            return 'confirmed' if row.revision >= revision else 'lagging'
        if row.state == LEAVING or (
            self._listed and row.gateway not in self._listed
        ):
            return GONE
        return 'missing'

    def _add_host_states(
        self, reported, gateway, row: HostsRow, revision
    ) -> None:
        """Adds what a row states about its hosts to ``reported``."""
        status = self._rows.get(('s', gateway))
        is_fresh = self._is_fresh(gateway)
        for host, (born, state) in row.hosts.items():
            if state == GONE:
                host_state = GONE
            elif state == SILENT or not is_fresh:
                host_state = 'missing'
                if self._listed and host not in self._listed:
                    host_state = GONE
            elif (
                status is not None
                and status.row.hosts_sequence >= row.sequence
                and status.row.born == row.born
                and status.row.confirms(host, revision)
            ):
                host_state = 'confirmed'
            else:
                host_state = 'lagging'
            reported.setdefault(host, []).append((born, host_state))
