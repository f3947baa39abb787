"""Spread of the configuration over gateways and agents.

Each process holds a request open at a few gateways; a gateway answers as soon
as it has a newer configuration, rows about members, or after the hold time.
So a change travels at once and an idle exchange costs a few bytes a second.

Body of a request: ``r`` applied revision, ``h`` longest hold in seconds,
``a`` role (``a`` or ``g``), ``t`` state, ``b`` start of the process in
milliseconds since the epoch, ``c`` and ``i`` cursor of the rows and the
incarnation of the gateway that gave it (gateways only), ``p`` a packed
configuration that the receiver has asked for.

Body of an answer: ``r`` revision, ``g`` digest, ``e`` seconds since the
sender was known to be current, ``i`` incarnation, ``t`` state, ``p`` packed
configuration if it is newer, ``w`` whether the receiver wants the sender's
newer one, ``m`` rows and ``c`` their cursor.

Gateways also swap the demand of organisations, from which each takes its part
of their rate limits: kind ``demand``, see limits.Limiter.digest.
"""

from collections.abc import Callable
import dataclasses

import anyio
from anyio import abc

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction import rendezvous
from chivejunction.coordination import limits
from chivejunction.coordination import watching
from chivejunction.protocol import deltas
from chivejunction.protocol import resources
from chivejunction.state import members
from chivejunction.state import views
from chivejunction.transport import exchanges
from chivejunction.transport import host_list

HOLD_SECONDS = 4.0
EXCHANGE_SECONDS = 2.0
# Rows are collected for this long before a held request is answered.
ROW_SECONDS = 0.5
# Repeated rows without news wait longer: they expire after three intervals of
# at least 4 s, so over three hops they still come in time.
REPEAT_SECONDS = 2.0
# Own rows are brought up to date this long after a report with news, and at
# this interval without one, which finds hosts that have become silent.
REFRESH_SECONDS = 0.2
IDLE_REFRESH_SECONDS = 1.0
# Gateways that a process exchanges with.
PARTNERS_IN_REGION = 2
PARTNERS_ELSEWHERE = 1
# Above this many gateways rows come from one partner instead of all.
MANY_GATEWAYS = 60
RETRY_SECONDS = 0.5
# Interval at which a gateway swaps demand with one of its partners in turn.
DEMAND_SECONDS = 1.0
DOWN_SECONDS = 10.0
CHECK_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is.

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
        gives_rows: Whether rows are asked for.
        revision: Revision that it last told.
        incarnation: Incarnation that it last told.
        cursor: Position in its rows.
        failures: Calls that failed since the last answer.
        scope: Ends its task.
    """

    host: host_list.ListedHost
    exchange: exchanges.Exchange
    gives_rows: bool
    revision: int = 0
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
    down: set[str],
) -> list[str]:
    """Returns the gateways that a host exchanges with.

    Args:
        host: Name of the host.
        region: Its region.
        gateways: All listed gateways.
        down: Gateways that do not answer or are leaving. They are chosen
            only when no others are left.
    """
    usable = [
        g for g in gateways if g.host not in down and not g.leaving
    ] or gateways
    near = [g.host for g in usable if g.region == region and g.host != host]
    far = [g.host for g in usable if g.region != region]
    wanted = PARTNERS_IN_REGION + PARTNERS_ELSEWHERE
    chosen_far = rendezvous.rank_hosts(host, far)[:PARTNERS_ELSEWHERE]
    chosen = rendezvous.rank_hosts(host, near)[: wanted - len(chosen_far)]
    if len(chosen) + len(chosen_far) < wanted:
        chosen_far = rendezvous.rank_hosts(host, far)[: wanted - len(chosen)]
    return chosen + chosen_far


class Spread:
    """Exchanges the configuration and rows about members.

    Args:
        identity: Who this process is.
        view: Configuration of this process.
        reader: Reads of the store.
        directory: Host list.
        make_exchange: Returns an exchange for an address.
        table: Members, at a gateway; None at an agent.
        limiter: Rate limits, at a gateway.
    """

    def __init__(
        self,
        identity: Identity,
        view: views.ConfigView,
        reader: watching.StoreReader,
        directory: host_list.HostDirectory,
        make_exchange: Callable[[str], exchanges.Exchange],
        table: members.MemberTable | None = None,
        limiter: limits.Limiter | None = None,
    ):
        self._identity = identity
        self._view = view
        self._reader = reader
        self._directory = directory
        self._make_exchange = make_exchange
        self._table = table
        self._limiter = limiter
        self._partners: dict[str, Partner] = {}
        self._down: dict[str, float] = {}
        # Set by a new revision or state; by rows too; by reports with news.
        self._news = anyio.Event()
        self._rows = anyio.Event()
        self._reports = anyio.Event()
        self._answered: dict[str, str] = {}
        self._packed: dict[int, bytes] = {}
        self._packed_revision = 0
        self.state = members.LIVE
        view.is_starting = True

    @property
    def region(self) -> str:
        """Region of this host, '' while it is not known."""
        return self._directory.find_region(
            self._identity.host, self._identity.failure_domain
        )

    def is_watcher(self) -> bool:
        """Tells whether this gateway watches the store."""
        if self._table is None or self.state != members.LIVE:
            return False
        region = self.region
        return self._identity.host in watching.choose_watchers(
            self._table.live_gateways(region), region
        )

    def leave(self) -> None:
        """Announces to all partners at once that this process leaves."""
        self.state = members.LEAVING
        self._notify()

    def _notify(self) -> None:
        news, self._news = self._news, anyio.Event()
        news.set()
        self._reports.set()
        self._notify_rows()

    def _notify_rows(self) -> None:
        """Wakes the held requests that ask for rows, and no others."""
        rows, self._rows = self._rows, anyio.Event()
        rows.set()

    async def run(self) -> None:
        """Exchanges until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_view)
            if self._table is not None:
                group.start_soon(self._refresh_rows)
            if self._limiter is not None:
                group.start_soon(self._swap_demand)
            while True:
                self._choose(group)
                self._check_started()
                await self._directory.wait_change(CHECK_SECONDS)

    async def _watch_view(self) -> None:
        while True:
            await self._view.wait_newer(self._view.revision)
            self._check_started()
            self._notify()

    async def _refresh_rows(self) -> None:
        table = self._table
        while True:
            self._reports = anyio.Event()
            table.region = self.region
            if self._directory.is_known:
                table.set_listed(self._directory.hosts)
            if table.refresh(self._view.revision, self.state):
                self._notify_rows()
            with anyio.move_on_after(IDLE_REFRESH_SECONDS):
                await self._reports.wait()
            await anyio.sleep(REFRESH_SECONDS)

    async def _swap_demand(self) -> None:
        turn = 0
        while True:
            await anyio.sleep(clock.jitter(DEMAND_SECONDS))
            partners = list(self._partners.values())
            if not partners or not self._view.limits:
                continue
            turn += 1
            exchange = partners[turn % len(partners)].exchange
            try:
                answer = await exchange.call(
                    'demand', self._limiter.digest(), EXCHANGE_SECONDS
                )
                self._limiter.merge(answer)
            except (errors.TransportError, errors.ProtocolError) as exc:
                logs.LOG.info('%s', exc)

    # Partners.

    def _choose(self, group: abc.TaskGroup) -> None:
        listed = self._directory.hosts
        gateways = [h for h in listed.values() if h.role == 'gateway']
        if not gateways:
            # An empty list is a fault of the list; partners stay.
            return
        for name, deadline in list(self._down.items()):
            if clock.has_passed(deadline):
                del self._down[name]
        chosen = choose_partners(
            self._identity.host, self.region, gateways, set(self._down)
        )
        for name, partner in list(self._partners.items()):
            if name not in chosen or listed[name] != partner.host:
                partner.scope.cancel()
                del self._partners[name]
        for name in chosen:
            if name not in self._partners:
                self._open(group, listed[name], chosen.index(name))

    def _open(self, group, host: host_list.ListedHost, place: int) -> None:
        partner = Partner(
            host,
            self._make_exchange(host.control_address),
            self._table is not None
            and (place == 0 or self._table.count_gateways() <= MANY_GATEWAYS),
        )
        self._partners[host.host] = partner
        group.start_soon(self._run_partner, partner)

    async def _run_partner(self, partner: Partner) -> None:
        try:
            with partner.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._push_to, partner)
                    await self._pull_from(partner)
        finally:
            partner.exchange.close()

    async def _pull_from(self, partner: Partner) -> None:
        # The first request is not held: it tells where the partner stands.
        hold = 0.0
        while True:
            try:
                answer = await self._call(partner, hold)
                self._take(partner, answer)
                hold = HOLD_SECONDS
                partner.failures = 0
            except errors.InvariantViolation as exc:
                metrics.count_violation(exc)
                await anyio.sleep(clock.jitter(CHECK_SECONDS))
            except (errors.TransportError, errors.ProtocolError) as exc:
                self._record_failure(partner, exc)
                hold = 0.0
                await anyio.sleep(clock.jitter(RETRY_SECONDS))

    def _record_failure(self, partner: Partner, exc: Exception) -> None:
        logs.LOG.info('%s', exc)
        partner.failures += 1
        if partner.failures >= 2:
            # The next choice replaces it for a while.
            self._down[partner.host.host] = clock.make_deadline(DOWN_SECONDS)

    async def _push_to(self, partner: Partner) -> None:
        """Tells a partner about news without waiting for the held call."""
        told = (self._view.revision, self.state)
        while True:
            news = self._news
            now = (self._view.revision, self.state)
            if now != told and (
                self._table is not None or self.state != members.LIVE
            ):
                told = now
                try:
                    await self._call(partner, 0.0, is_push=True)
                except (errors.TransportError, errors.ProtocolError) as exc:
                    logs.LOG.info('%s', exc)
                continue
            await news.wait()

    async def _call(
        self, partner: Partner, hold: float, is_push: bool = False
    ) -> dict:
        body = self._make_body(partner, hold)
        if is_push:
            # The held call brings rows and tells the true hold time.
            body.pop('c', None)
            body['h'] = HOLD_SECONDS
            body['n'] = True
        answer = await partner.exchange.call(
            'sync', body, hold + EXCHANGE_SECONDS
        )
        if answer.get('w') and self._view.revision > answer['r']:
            packed = self._pack(answer['r'])
            body = {**self._make_body(partner, 0.0), 'n': True, 'p': packed}
            body.pop('c', None)
            body['h'] = HOLD_SECONDS
            await partner.exchange.call('sync', body, EXCHANGE_SECONDS)
        return answer

    def _make_body(self, partner: Partner, hold: float) -> dict:
        body = {
            'r': self._view.revision,
            'h': hold,
            'a': self._identity.role[0],
            't': self.state,
            'b': self._identity.born,
        }
        if partner.gives_rows:
            body['c'] = partner.cursor
            body['i'] = partner.incarnation
        return body

    def _take(self, partner: Partner, answer: dict) -> None:
        if 'p' in answer:
            self._apply_packed(answer['p'])
        partner.revision = answer['r']
        partner.incarnation = answer['i']
        if self._table is not None and 'm' in answer:
            partner.cursor = answer['c']
            if self._table.merge_rows(answer['m']):
                self._notify_rows()
        if answer['t'] != members.LIVE:
            self._down[partner.host.host] = clock.make_deadline(DOWN_SECONDS)
        self._view.check_digest(answer['r'], answer['g'])
        if self._view.revision >= answer['r']:
            self._answered[partner.host.host] = partner.host.region
            if answer['e'] is not None:
                self._reader.confirm(answer['e'])
        self._check_started()

    def _apply_packed(self, packed: bytes) -> None:
        value = deltas.unpack_json(packed)
        if 'base' not in value:
            self._view.apply(resources.parse_document(value['document']))
        elif value['base'] == self._view.revision:
            self._view.apply_delta(value)
        # Otherwise another answer came first; the next one starts there.

    def _pack(self, base: int) -> bytes:
        view = self._view
        if self._packed_revision != view.revision:
            self._packed = {}
            self._packed_revision = view.revision
        if base not in self._packed:
            value = deltas.make_delta(view.document, base, view.digest)
            if value is None:
                base = 0
                value = {
                    'document': resources.dump_document(view.document).decode()
                }
            if base not in self._packed:
                self._packed[base] = deltas.pack_json(value)
        return self._packed[base]

    # Start.

    def _check_started(self) -> None:
        """Ends the start when the view is current or peers agree.

        While the store is down nobody is current. Then the highest revision
        of several gateways, in the own and in another region, is taken.
        """
        view = self._view
        if not view.is_starting or view.revision == 0:
            return
        if self._reader.age < watching.STALE_SECONDS or (
            self._has_enough_answers()
        ):
            logs.LOG.info('serving from revision %d', view.revision)
            view.is_starting = False

    def _has_enough_answers(self) -> bool:
        region = self.region
        listed = [
            h
            for h in self._directory.hosts.values()
            if h.role == 'gateway' and h.host != self._identity.host
        ]
        near = sum(h.region == region for h in listed)
        far = len(listed) - near
        answered_near = sum(r == region for r in self._answered.values())
        answered_far = len(self._answered) - answered_near
        return (
            bool(self._answered)
            and answered_near >= min(near, PARTNERS_IN_REGION)
            and answered_far >= min(far, PARTNERS_ELSEWHERE)
        )

    # Answers.

    async def answer(self, message: dict) -> dict:
        """Returns the answer to a request of a peer.

        Raises:
            ProtocolError: The message is of another kind or malformed.
        """
        if message['kind'] == 'demand' and self._limiter is not None:
            self._limiter.merge(message['body'])
            return self._limiter.digest()
        if message['kind'] != 'sync' or self._table is None:
            raise errors.ProtocolError(f'unknown kind {message["kind"]!r}')
        body = message['body']
        if 'p' in body:
            self._apply_packed(body['p'])
        if self._table.hear(message['sender'], message['incarnation'], body):
            self._reports.set()
        if body['r'] <= self._view.revision and not body.get('n'):
            await self._hold(body, clock.make_deadline(body['h']))
        return self._make_answer(message['sender'], body)

    def _row_seconds(self, body: dict) -> float | None:
        """Returns how long rows are collected, None if there are none."""
        if 'c' not in body:
            return None
        if (
            body['i'] != self._identity.incarnation
            or body['c'] < self._table.news_counter
        ):
            return ROW_SECONDS
        return REPEAT_SECONDS if body['c'] < self._table.counter else None

    async def _hold(self, body: dict, deadline: float) -> None:
        deadline = min(deadline, clock.make_deadline(2 * HOLD_SECONDS))
        begin = clock.now()
        started_in = self.state
        while not clock.has_passed(deadline):
            news = self._rows if 'c' in body else self._news
            if self._view.revision > body['r'] or self.state != started_in:
                return
            limit = deadline
            seconds = self._row_seconds(body)
            if seconds is not None:
                limit = min(deadline, begin + seconds)
                if clock.has_passed(limit):
                    return
            with anyio.move_on_after(clock.remaining(limit)):
                await news.wait()

    def _make_answer(self, peer: str, body: dict) -> dict:
        view = self._view
        age = self._reader.age
        answer = {
            'r': view.revision,
            'g': view.digest,
            'e': round(age, 1) if age < 3600 else None,
            'i': self._identity.incarnation,
            't': self.state,
        }
        if view.revision > body['r']:
            answer['p'] = self._pack(body['r'])
        elif view.revision < body['r']:
            answer['w'] = True
        if 'c' in body:
            is_known = body['i'] == self._identity.incarnation
            answer['m'] = self._table.list_rows(
                body['c'] if is_known else 0, peer
            )
            answer['c'] = self._table.counter
        return answer
