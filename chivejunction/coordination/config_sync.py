"""Synchronization of the configuration between gateways and agents.

Each process keeps a long poll open at a few gateways, its partners. A gateway
responds as soon as it has a newer configuration or new rows about members, and
otherwise when the hold time ends. A change is therefore forwarded without
waiting for a polling interval, and an idle exchange costs only a few bytes a
second.

Fields of a ``sync`` request:
    r: Applied revision.
    h: Longest time in seconds for which the request may be held.
    a: Role of the sender, ``a`` (agent) or ``g`` (gateway).
    t: State of the sender.
    b: Start of the sending process in milliseconds since the epoch.
    c, i: Cursor in the rows of the receiver, and the incarnation of the
        gateway that issued the cursor (gateways only).
    n: Set if the request is a push, which is never held.
    p: Packed configuration that the receiver has asked for.

Fields of a response:
    r: Applied revision.
    g: Digest of the configuration.
    e: Seconds since the sender was last known to be current, null from an
        hour on.
    i: Incarnation of the sender.
    t: State of the sender.
    p: Packed configuration, if it is newer than that of the request.
    w: Set if the sender of the response wants the newer configuration of the
        requester.
    m, c: Rows about members, and the cursor after them.

Gateways also exchange the demand of organisations, from which each computes
its share of their rate limits: kind ``demand``, see
rate_limits.RateLimiter.digest.
"""

from collections.abc import Callable
import dataclasses

import anyio
from anyio import abc

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction import rendezvous
from chivejunction.coordination import rate_limits
from chivejunction.coordination import store_reader
from chivejunction.protocol import deltas
from chivejunction.protocol import resources
from chivejunction.state import members
from chivejunction.state import views
from chivejunction.transport import exchanges
from chivejunction.transport import host_list

# Hold time that a request asks for. A receiver never holds a request for more
# than twice this time.
HOLD_SECONDS = 4.0
EXCHANGE_TIMEOUT_SECONDS = 2.0
# Rows are collected for this long before the response to a held request.
ROW_BATCH_SECONDS = 0.5
# Rows that only repeat a known status are collected for longer. They expire
# after three intervals of at least 4 s, so they arrive in time even over
# three hops.
REPEATED_ROW_BATCH_SECONDS = 2.0
# A gateway recomputes its own rows this long after a report that changed
# something, and at the idle interval, which detects hosts that became silent.
REFRESH_DELAY_SECONDS = 0.2
IDLE_REFRESH_INTERVAL_SECONDS = 1.0
# Number of partners of a process.
PARTNERS_IN_REGION = 2
PARTNERS_ELSEWHERE = 1
# Above this many gateways a gateway requests rows from one partner instead of
# all.
MAX_GATEWAYS_FOR_ALL_ROWS = 60
RETRY_DELAY_SECONDS = 0.5
# A gateway exchanges demand with one partner per interval, in turn.
DEMAND_INTERVAL_SECONDS = 1.0
# A partner that failed or is leaving is not chosen again for this long.
PARTNER_EXCLUSION_SECONDS = 10.0
CHECK_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a process in requests and responses.

    Attributes:
        host: Name of the host.
        role: ``agent`` or ``gateway``.
        incarnation: Unique id of the process.
        born: Start of the process in milliseconds since the epoch.
        failure_domain: Failure domain of the host.
    """

    host: str
    role: str
    incarnation: str
    born: int
    failure_domain: str


@dataclasses.dataclass(slots=True)
class Partner:
    """A gateway that this process exchanges with.

    Attributes:
        host: Its entry in the host list.
        exchange: Exchange with it.
        requests_rows: Whether this process requests rows from it.
        incarnation: Incarnation in its last response.
        cursor: Cursor in its rows after its last response.
        failures: Calls that failed since the last response.
        scope: Cancel scope of its task.
    """

    host: host_list.ListedHost
    exchange: exchanges.ExchangeClient
    requests_rows: bool = False
    incarnation: str = ''
    cursor: int = 0
    failures: int = 0
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


def choose_partners(
    host: str,
    region: str,
    gateways: list[host_list.ListedHost],
    excluded: set[str],
) -> list[str]:
    """Returns the gateways that a host exchanges with.

    Args:
        host: Name of the host.
        region: Region of the host.
        gateways: All listed gateways.
        excluded: Names of gateways that do not respond or are leaving. Like
            those listed as leaving, they are chosen only when no others are
            left.
    """
    usable = [
        g for g in gateways if g.host not in excluded and not g.leaving
    ] or gateways
    local = [g.host for g in usable if g.region == region and g.host != host]
    remote = [g.host for g in usable if g.region != region]
    total = PARTNERS_IN_REGION + PARTNERS_ELSEWHERE
    chosen_remote = rendezvous.rank_hosts(host, remote)[:PARTNERS_ELSEWHERE]
    chosen_local = rendezvous.rank_hosts(host, local)[
        : total - len(chosen_remote)
    ]
    if len(chosen_local) + len(chosen_remote) < total:
        chosen_remote = rendezvous.rank_hosts(host, remote)[
            : total - len(chosen_local)
        ]
    return chosen_local + chosen_remote


class ConfigSync:
    """Exchanges configuration, member rows and demand with partners.

    Args:
        identity: Identity of this process.
        view: Configuration of this process.
        reader: Reader of the store, which tracks the age of the view.
        directory: Host list.
        make_exchange: Returns an exchange for a control address.
        table: Member table of a gateway; None at an agent.
        limiter: Rate limiter of a gateway; None at an agent.
    """

    def __init__(
        self,
        identity: Identity,
        view: views.ConfigView,
        reader: store_reader.StoreReader,
        directory: host_list.HostDirectory,
        make_exchange: Callable[[str], exchanges.ExchangeClient],
        table: members.MemberTable | None = None,
        limiter: rate_limits.RateLimiter | None = None,
    ):
        self._identity = identity
        self._view = view
        self._reader = reader
        self._directory = directory
        self._make_exchange = make_exchange
        self._table = table
        self._limiter = limiter
        self._partners: dict[str, Partner] = {}
        self._excluded_until: dict[str, float] = {}
        # The first two are replaced by a new event when they are set, the
        # third before each refresh of the own rows. A change of the revision
        # or the state sets all of them.
        self._revision_or_state_changed = anyio.Event()
        self._rows_changed = anyio.Event()
        self._reports_changed = anyio.Event()
        self._regions_by_responder: dict[str, str] = {}
        self._packed_by_base: dict[int, bytes] = {}
        self._packed_revision = 0
        self.state = members.LIVE
        view.is_starting = True

    @property
    def region(self) -> str:
        """Region of this host, '' while it is unknown."""
        return self._directory.find_region(
            self._identity.host, self._identity.failure_domain
        )

    def is_watcher(self) -> bool:
        """Returns whether this gateway is to watch the store."""
        if self._table is None or self.state != members.LIVE:
            return False
        region = self.region
        return self._identity.host in store_reader.choose_watchers(
            self._table.list_live_gateways(region), region
        )

    def leave(self) -> None:
        """Announces to all partners at once that this process is leaving."""
        self.state = members.LEAVING
        self._wake_all()

    def _wake_all(self) -> None:
        previous, self._revision_or_state_changed = (
            self._revision_or_state_changed,
            anyio.Event(),
        )
        previous.set()
        self._reports_changed.set()
        self._wake_row_requests()

    def _wake_row_requests(self) -> None:
        """Wakes only the held requests that ask for rows."""
        previous, self._rows_changed = self._rows_changed, anyio.Event()
        previous.set()

    async def run(self) -> None:
        """Exchanges with partners until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_view)
            if self._table is not None:
                group.start_soon(self._refresh_rows)
            if self._limiter is not None:
                group.start_soon(self._exchange_demand)
            while True:
                containment.expect_progress()
                self._update_partners(group)
                self._check_startup()
                await self._directory.wait_for_change(CHECK_INTERVAL_SECONDS)

    async def _follow_view(self) -> None:
        while True:
            await self._view.wait_newer(self._view.revision)
            self._check_startup()
            self._wake_all()

    async def _refresh_rows(self) -> None:
        table = self._table
        while True:
            self._reports_changed = anyio.Event()
            table.region = self.region
            if self._directory.is_loaded:
                table.set_listed_hosts(self._directory.hosts)
            if table.refresh(self._view.revision, self.state):
                self._wake_row_requests()
            with anyio.move_on_after(IDLE_REFRESH_INTERVAL_SECONDS):
                await self._reports_changed.wait()
            await anyio.sleep(REFRESH_DELAY_SECONDS)

    async def _exchange_demand(self) -> None:
        turn = 0
        while True:
            await anyio.sleep(clock.jitter(DEMAND_INTERVAL_SECONDS))
            partners = list(self._partners.values())
            if not partners or not self._view.limits:
                continue
            turn += 1
            exchange = partners[turn % len(partners)].exchange
            try:
                response = await exchange.call(
                    'demand', self._limiter.digest(), EXCHANGE_TIMEOUT_SECONDS
                )
                self._limiter.merge(response)
            except (errors.TransportError, errors.ProtocolError) as exc:
                logs.LOG.info('demand exchange failed: %s', exc)

    # Partners.

    def _update_partners(self, group: abc.TaskGroup) -> None:
        listed = self._directory.hosts
        gateways = [h for h in listed.values() if h.role == 'gateway']
        if not gateways:
            # An empty host list is a fault of the list: keep the partners.
            return
        for name, deadline in list(self._excluded_until.items()):
            if clock.has_passed(deadline):
                del self._excluded_until[name]
        chosen = choose_partners(
            self._identity.host,
            self.region,
            gateways,
            set(self._excluded_until),
        )
        for name, partner in list(self._partners.items()):
            if name not in chosen or listed[name] != partner.host:
                partner.scope.cancel()
                del self._partners[name]
        for rank, name in enumerate(chosen):
            if name not in self._partners:
                self._start_partner(group, listed[name])
            # Always from the first one, also if it was another one before.
            self._partners[name].requests_rows = self._table is not None and (
                rank == 0
                or self._table.count_gateways() <= MAX_GATEWAYS_FOR_ALL_ROWS
            )

    def _start_partner(self, group, host: host_list.ListedHost) -> None:
        """Starts the exchange with a partner."""
        partner = Partner(host, self._make_exchange(host.control_address))
        self._partners[host.host] = partner
        group.start_soon(self._run_partner, partner)

    async def _run_partner(self, partner: Partner) -> None:
        try:
            with (
                containment.contain('exchange', partner=partner.host.host),
                partner.scope,
            ):
                async with anyio.create_task_group() as group:
                    group.start_soon(self._push_changes, partner)
                    await self._poll_partner(partner)
        finally:
            partner.exchange.close()
            # After an error the next update of the partners starts it again.
            if self._partners.get(partner.host.host) is partner:
                del self._partners[partner.host.host]

    async def _poll_partner(self, partner: Partner) -> None:
        # The first request is not held, so that the response states the
        # partner's revision and state at once.
        hold = 0.0
        while True:
            try:
                response = await self._call(partner, hold)
                self._handle_response(partner, response)
                hold = HOLD_SECONDS
                partner.failures = 0
            except errors.InvariantViolation as exc:
                metrics.count_violation(exc)
                await anyio.sleep(clock.jitter(CHECK_INTERVAL_SECONDS))
            except (errors.TransportError, errors.ProtocolError) as exc:
                self._record_failure(partner, exc)
                hold = 0.0
                await anyio.sleep(clock.jitter(RETRY_DELAY_SECONDS))

    def _record_failure(self, partner: Partner, exc: Exception) -> None:
        logs.LOG.info(
            'synchronization with %s failed: %s', partner.host.host, exc
        )
        partner.failures += 1
        if partner.failures >= 2:
            # The next choice of partners leaves it out for this time.
            self._excluded_until[partner.host.host] = clock.make_deadline(
                PARTNER_EXCLUSION_SECONDS
            )

    async def _push_changes(self, partner: Partner) -> None:
        """Pushes new revisions and states to a partner.

        Otherwise the partner would learn of them only from the next request,
        after the hold time.
        """
        pushed = (self._view.revision, self.state)
        while True:
            changed = self._revision_or_state_changed
            current = (self._view.revision, self.state)
            if current != pushed and (
                self._table is not None or self.state != members.LIVE
            ):
                pushed = current
                try:
                    await self._call(partner, 0.0, is_push=True)
                except (errors.TransportError, errors.ProtocolError) as exc:
                    logs.LOG.info('push of a change failed: %s', exc)
                continue
            await changed.wait()

    async def _call(
        self, partner: Partner, hold: float, is_push: bool = False
    ) -> dict:
        body = self._make_request(partner, hold)
        if is_push:
            # The held call of the same partner fetches the rows. The receiver
            # derives from the hold time when the next report is due.
            body.pop('c', None)
            body['h'] = HOLD_SECONDS
            body['n'] = True
        response = await partner.exchange.call(
            'sync', body, hold + EXCHANGE_TIMEOUT_SECONDS
        )
        if response.get('w') and self._view.revision > response['r']:
            packed = self._pack(response['r'])
            body = {**self._make_request(partner, 0.0), 'n': True, 'p': packed}
            body.pop('c', None)
            body['h'] = HOLD_SECONDS
            await partner.exchange.call('sync', body, EXCHANGE_TIMEOUT_SECONDS)
        return response

    def _make_request(self, partner: Partner, hold: float) -> dict:
        body = {
            'r': self._view.revision,
            'h': hold,
            'a': self._identity.role[0],
            't': self.state,
            'b': self._identity.born,
        }
        if partner.requests_rows:
            body['c'] = partner.cursor
            body['i'] = partner.incarnation
        return body

    def _handle_response(self, partner: Partner, response: dict) -> None:
        if 'p' in response:
            self._apply_packed(response['p'])
        partner.incarnation = response['i']
        if self._table is not None and 'm' in response:
            partner.cursor = response['c']
            if self._table.merge_rows(response['m']):
                self._wake_row_requests()
        if response['t'] != members.LIVE:
            self._excluded_until[partner.host.host] = clock.make_deadline(
                PARTNER_EXCLUSION_SECONDS
            )
        self._view.check_digest(response['r'], response['g'])
        if self._view.revision >= response['r']:
            self._regions_by_responder[partner.host.host] = partner.host.region
            if response['e'] is not None:
                self._reader.record_current(response['e'])
        self._check_startup()

    def _apply_packed(self, packed: bytes) -> None:
        value = deltas.decompress_json(packed)
        if 'base' not in value:
            document = value.get('document', '')
            if not isinstance(document, str):
                raise errors.ProtocolError('document is no text')
            self._view.apply(resources.parse_document(document))
        elif value['base'] == self._view.revision:
            self._view.apply_delta(value)
        # Otherwise another response was applied first. The next response
        # starts from the present revision.

    def _pack(self, base: int) -> bytes:
        """Returns the packed delta from a base revision.

        If there is no delta from this revision, returns the packed document.
        """
        view = self._view
        if self._packed_revision != view.revision:
            self._packed_by_base = {}
            self._packed_revision = view.revision
        if base not in self._packed_by_base:
            value = deltas.make_delta(view.document, base, view.digest)
            if value is None:
                base = 0
                value = {
                    'document': resources.dump_document(view.document).decode()
                }
            if base not in self._packed_by_base:
                self._packed_by_base[base] = deltas.compress_json(value)
        return self._packed_by_base[base]

    # Startup.

    def _check_startup(self) -> None:
        """Ends the startup if the view is current or enough gateways agree.

        While the store is down no process is current. The startup then ends
        once several gateways, in the own region and in another one, have
        responded with a revision that is not above the applied one, which is
        then the highest revision of all of them.
        """
        view = self._view
        if not view.is_starting or view.revision == 0:
            return
        if self._reader.age < store_reader.STALE_AFTER_SECONDS or (
            self._has_enough_responses()
        ):
            logs.LOG.info('startup complete at revision %d', view.revision)
            view.is_starting = False

    def _has_enough_responses(self) -> bool:
        region = self.region
        listed = [
            h
            for h in self._directory.hosts.values()
            if h.role == 'gateway' and h.host != self._identity.host
        ]
        local = sum(h.region == region for h in listed)
        remote = len(listed) - local
        responded_local = sum(
            r == region for r in self._regions_by_responder.values()
        )
        responded_remote = len(self._regions_by_responder) - responded_local
        return (
            bool(self._regions_by_responder)
            and responded_local >= min(local, PARTNERS_IN_REGION)
            and responded_remote >= min(remote, PARTNERS_ELSEWHERE)
        )

    # Requests of peers.

    async def handle_request(self, message: dict) -> dict:
        """Returns the response to a request of a peer.

        Args:
            message: The request with its envelope, see transport.exchanges.

        Raises:
            ProtocolError: The kind of the message is unknown or not served by
                this process, or the configuration in it is malformed.
        """
        if message['kind'] == 'demand' and self._limiter is not None:
            self._limiter.merge(message['body'])
            return self._limiter.digest()
        if message['kind'] != 'sync' or self._table is None:
            raise errors.ProtocolError(f'unknown kind {message["kind"]!r}')
        body = message['body']
        if 'p' in body:
            self._apply_packed(body['p'])
        if self._table.record_report(
            message['sender'], message['incarnation'], body
        ):
            self._reports_changed.set()
        if body['r'] <= self._view.revision and not body.get('n'):
            await self._hold_request(body, clock.make_deadline(body['h']))
        return self._make_response(message['sender'], body)

    def _get_batch_seconds(self, body: dict) -> float | None:
        """Returns for how many seconds the rows for a peer are collected.

        Returns:
            None if the request asks for no rows or there are none for it.
        """
        if 'c' not in body:
            return None
        if (
            body['i'] != self._identity.incarnation
            or body['c'] < self._table.change_counter
        ):
            return ROW_BATCH_SECONDS
        return (
            REPEATED_ROW_BATCH_SECONDS
            if body['c'] < self._table.counter
            else None
        )

    async def _hold_request(self, body: dict, deadline: float) -> None:
        deadline = min(deadline, clock.make_deadline(2 * HOLD_SECONDS))
        held_since = clock.now()
        initial_state = self.state
        while not clock.has_passed(deadline):
            changed = (
                self._rows_changed
                if 'c' in body
                else self._revision_or_state_changed
            )
            if self._view.revision > body['r'] or self.state != initial_state:
                return
            respond_at = deadline
            batch_seconds = self._get_batch_seconds(body)
            if batch_seconds is not None:
                respond_at = min(deadline, held_since + batch_seconds)
                if clock.has_passed(respond_at):
                    return
            with anyio.move_on_after(clock.remaining(respond_at)):
                await changed.wait()

    def _make_response(self, peer: str, body: dict) -> dict:
        view = self._view
        age = self._reader.age
        response = {
            'r': view.revision,
            'g': view.digest,
            'e': round(age, 1) if age < 3600 else None,
            'i': self._identity.incarnation,
            't': self.state,
        }
        if view.revision > body['r']:
            response['p'] = self._pack(body['r'])
        elif view.revision < body['r']:
            response['w'] = True
        if 'c' in body:
            is_own_cursor = body['i'] == self._identity.incarnation
            response['m'] = self._table.list_rows(
                body['c'] if is_own_cursor else 0, peer
            )
            response['c'] = self._table.counter
        return response
