"""Replays recorded loads against the decisions about load.

A record holds the requests of a played day as the gateways logged them. The
replay runs the real selector, tier choice and estimators of several gateways
in virtual time; only the engines are modelled: each processes prompts one
after the other, at a speed of its own, and keeps the shared parts that were
used last.
"""

import collections
import dataclasses
import heapq
import itertools
import json
import pathlib

from chivejunction import clock
from chivejunction.coordination import departures
from chivejunction.coordination import direct_attempts
from chivejunction.coordination import pace_hints
from chivejunction.coordination import prefix_usage
from chivejunction.protocol import forwarding
from chivejunction.scheduling import backend_selection
from chivejunction.scheduling import domain_shares
from chivejunction.scheduling import prefix_placement
from chivejunction.scheduling import server_paces as pace_scheduling
from chivejunction.scheduling import tier_choice
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import copy_links
from chivejunction.state import prefix_caches
from chivejunction.state import prefix_rates
from chivejunction.state import server_paces

TIERS = ('small', 'medium', 'large')
# Prompt tokens per second of the engines on the users' data sheets, by model.
TOKENS_PER_SECOND = {
    'small': 61_200 / 0.3,
    'medium': 61_200 / 0.8,
    'large': 61_200 / 3.0,
}
# Confidence of the models compared with that of the smallest one.
GAINS = {'small': 0.0, 'medium': 0.137, 'large': 0.63}
# A response is good enough from this confidence on.
ADEQUATE_CONFIDENCE = 0.5
REGIONS = ('bkk', 'cnx', 'hkt')
REMOTE_SECONDS = 0.06
HINT_SECONDS = 0.1
RECORDS = pathlib.Path(__file__).parent / 'records'


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedRequest:
    """A request of a record.

    Attributes:
        at: Seconds since the start of the record.
        urgency: Rank of its route; 0 is the most urgent.
        objective: Latency objective of its route in seconds.
        part: Id of the shared part of its prompt; empty for none.
        shared_tokens: Length of the shared part.
        input_tokens: Length of the prompt.
        confidence: Confidence of the small model in its answer.
        home: Failure domain of its caller; empty for any.
        organisation: Organisation of the caller.
    """

    at: float
    urgency: int
    objective: float
    part: str
    shared_tokens: int
    input_tokens: int
    confidence: float
    home: str = ''
    organisation: str = ''


def read_record(name: str) -> list[RecordedRequest]:
    """Returns the requests of a record in ``tests/records``."""
    rows = json.loads((RECORDS / f'{name}.json').read_text())
    return [RecordedRequest(*row) for row in rows]


@dataclasses.dataclass(slots=True)
class Engine:
    """Model of an engine.

    Attributes:
        cache_tokens: Memory for shared parts.
        speed: Prompt tokens per second, relative to ``TOKENS_PER_SECOND``.
        free_at: Time at which the prompts in its queue are processed.
        parts: Cached parts by model, the least recently used first.
        responds: Whether it responds at all.
        arrivals: Times at which it got a request.
    """

    cache_tokens: int
    speed: float = 1.0
    free_at: float = 0.0
    parts: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    responds: bool = True
    arrivals: list[float] = dataclasses.field(default_factory=list)

    def read(
        self,
        model: str,
        request: RecordedRequest,
        now: float,
        copy_seconds: float | None = None,
    ):
        """Processes a prompt.

        Args:
            model: Model that processes it.
            request: The request.
            now: Current time.
            copy_seconds: Time after which the shared part is copied from
                another engine; None if it is not.

        Returns:
            The time of the first byte and the shared tokens that were read.
        """
        key = (model, request.part)
        read_tokens = 0 if key in self.parts else request.shared_tokens
        if copy_seconds is not None:
            read_tokens, now = 0, now + copy_seconds
        if request.part:
            self.parts[key] = request.shared_tokens
            self.parts.move_to_end(key)
            while sum(self.parts.values()) > self.cache_tokens:
                self.parts.popitem(last=False)
        tokens = request.input_tokens - request.shared_tokens + read_tokens
        seconds = tokens / TOKENS_PER_SECOND[model] / self.speed
        self.arrivals.append(now)
        self.free_at = max(now, self.free_at) + seconds
        return self.free_at, read_tokens


@dataclasses.dataclass(slots=True)
class Result:
    """Outcome of a replayed request.

    Attributes:
        request: The request.
        seconds: Time to the first byte that its caller gets.
        is_adequate: Whether a model answered that is good enough.
        read_tokens: Shared tokens that were processed for it.
    """

    request: RecordedRequest
    seconds: float
    is_adequate: bool
    read_tokens: int

    @property
    def is_served(self) -> bool:
        """Whether the answer was adequate and in time."""
        return self.is_adequate and self.seconds <= self.request.objective


class Gateway:
    """Decisions of one gateway."""

    def __init__(self, replay, number, domain, regions):
        self.name = f'gw-{number}'
        self.domain, self.region = domain, domain[:3]
        self.server_backlogs = backlogs.Backlogs()
        self.running_attempts = backlogs.Backlogs()
        self.prefill_times = backlogs.PrefillTimeEstimator()
        self.prefill_times.set_tiers(TIERS)
        self.index = prefix_caches.PrefixCacheIndex()
        if replay.speed != 1.0:
            for model in TIERS * backlogs.MAX_SAMPLES:
                seconds = 10_000 / TOKENS_PER_SECOND[model] / replay.speed
                self.prefill_times.record(
                    model, 10_000, seconds + backlogs.BASE_FIRST_BYTE_SECONDS
                )
        self.confidence_gains = tier_choice.ConfidenceGains()
        self.paces = self.pace_section = None
        if replay.has_paces:
            records = server_paces.ServerPaces()
            self.paces = pace_scheduling.PaceEstimator(
                self.name, self.region, records, lambda: replay.gateway_count
            )
            self.pace_section = pace_hints.PaceSection(records, self.paces)
        self.departures = None
        if regions:
            self.departures = departures.Departures(
                domain,
                regions,
                domain_shares.LinkCosts(),
                replay.table,
                self.server_backlogs,
            )
        self.placer = self.usage = None
        if replay.places_prefixes:
            self.placer = prefix_placement.PrefixPlacer(
                prefix_rates.PrefixRates(),
                copy_links.CopyLinks(lambda: replay.gateway_count),
            )
            self.usage = prefix_usage.PrefixUsage(self.placer)
        self.selector = backend_selection.BackendSelector(
            replay.table,
            self.region,
            lambda: replay.gateway_count,
            lambda key, limit: 1,
            self.server_backlogs,
            self.running_attempts,
            self.prefill_times,
            self.index,
            paces=self.paces,
            shares=self.departures and self.departures.shares,
            prefix_placer=self.placer,
        )


class Replay:
    """Replays a record.

    Args:
        monkeypatch: Replaces the clock by the virtual time.
        engine_count: Number of engines, spread over the regions.
        gateway_count: Number of gateways.
        cache_tokens: Memory of an engine for shared parts.
        speeds: Speeds of the engines in turn. Gateways learn from their
            attempts only where they are given.
        has_paces: Whether the gateways learn the pace of each server.
        engine_domains: Failure domain of each engine; None to spread them.
        gateway_domains: The same for the gateways.
        hint_seconds: Interval of the hints between gateways.
        has_shares: Whether the gateways know of failure domains.
        speed: Prompt tokens per second, relative to ``TOKENS_PER_SECOND``.
        cache_token_bytes: Size of a cached token.
        copy_bytes_per_second: Rate of an engine's link; 0 without copies.
        places_prefixes: Whether prefixes are placed by their rates of use.
        hints_reach_all: Whether gateways of all regions learn at once which
            prompts an engine reads; otherwise those of one region do.
    """

    def __init__(
        self,
        monkeypatch,
        engine_count=17,
        gateway_count=17,
        cache_tokens=300_000,
        speeds=(),
        has_paces=False,
        engine_domains=None,
        gateway_domains=None,
        hint_seconds=HINT_SECONDS,
        has_shares=False,
        speed=1.0,
        cache_token_bytes=0.0,
        copy_bytes_per_second=0.0,
        places_prefixes=False,
        hints_reach_all=False,
    ):
        self.has_paces = has_paces
        self._is_learning = bool(speeds)
        speeds = speeds or (1.0,)
        domains = [f'{region}-a' for region in REGIONS]
        engine_domains = engine_domains or [
            domains[n % len(domains)] for n in range(engine_count)
        ]
        gateway_domains = gateway_domains or [
            domains[n % len(domains)] for n in range(gateway_count)
        ]
        regions = {d: d[:3] for d in gateway_domains} if has_shares else None
        self.hint_seconds = hint_seconds
        # Time, home, failure domain and reason of each attempt.
        self.sent = []
        self.speed = speed
        self.places_prefixes = places_prefixes
        self.hints_reach_all = hints_reach_all
        self.copied_bytes = 0.0
        self.now = 1000.0
        self.gateway_count = len(gateway_domains)
        monkeypatch.setattr(clock, 'now', lambda: self.now)
        monkeypatch.setattr(clock, 'has_passed', lambda at: self.now >= at)
        monkeypatch.setattr(clock, 'make_deadline', lambda s: self.now + s)
        self.service = forwarding.BackendService(
            'pool',
            max_connections=10_000,
            cache_tokens=cache_tokens,
            cache_token_bytes=cache_token_bytes,
            copy_bytes_per_second=copy_bytes_per_second,
        )
        self.table = backends.BackendTable()
        self.engines = {}
        for number, domain in enumerate(engine_domains):
            instance = f'i-{number}'
            self.engines[instance] = Engine(
                cache_tokens, speed=speed * speeds[number % len(speeds)]
            )
            self.table.update(
                backends.Backend(
                    instance, 'pool', '', 1, domain, domain[:3], 'v1', 64
                )
            )
        self.gateways = [
            Gateway(self, n, domain, regions)
            for n, domain in enumerate(gateway_domains)
        ]
        self._events = []
        self._order = itertools.count()
        self.results = []
        self.engine_seconds = 0.0

    def schedule(self, at, action, *args):
        """Schedules a call at a virtual time."""
        heapq.heappush(self._events, (at, next(self._order), action, args))

    def run(self, record) -> list[Result]:
        """Replays the requests; returns their results."""
        start = self.now
        for number, request in enumerate(record):
            near = [g for g in self.gateways if request.home in ('', g.domain)]
            gateway = near[number % len(near)]
            self.schedule(start + request.at, self._begin, gateway, request)
        end = start + record[-1].at + 5
        ticks = int((end - start) / self.hint_seconds)
        for tick in range(ticks):
            self.schedule(start + tick * self.hint_seconds, self._send_hints)
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.results

    def _send_hints(self):
        for gateway in self.gateways:
            report = gateway.server_backlogs.sum_local()
            rows = (
                gateway.pace_section.collect_rows('') if self.has_paces else []
            )
            for other in self.gateways:
                if other is gateway:
                    continue
                other.server_backlogs.set_peer_backlogs(gateway.name, report)
                if rows and not self.loses_hint():
                    other.pace_section.apply_rows(gateway.name, rows)
            if gateway.departures:
                rows = gateway.departures.section.collect_rows(gateway.region)
                for other in self.gateways if rows else ():
                    if other is not gateway:
                        other.departures.section.apply_rows(gateway.name, rows)
            if gateway.usage:
                rows = gateway.usage.collect_rows('')
                for other in self.gateways if rows else ():
                    if other is not gateway:
                        other.usage.apply_rows(gateway.name, rows)

    def loses_hint(self) -> bool:
        """Returns whether the paces in a hint are lost."""
        return False

    def _record_first_byte(self, gateway, choice, sent_at, tokens):
        # The engines take no time for an empty prompt.
        seconds = self.now - sent_at + backlogs.BASE_FIRST_BYTE_SECONDS
        if direct_attempts.is_prefill_measurable(choice):
            gateway.prefill_times.record(choice.model, tokens, seconds)
        if gateway.paces is not None:
            gateway.paces.record_first_byte(
                choice.backend,
                seconds,
                choice.seconds,
                choice.wait,
                choice.pace,
            )

    def _choose(self, gateway, request, model):
        prompt = (
            forwarding.PromptPart(request.part, request.shared_tokens),
            forwarding.PromptPart(
                'own', request.input_tokens - request.shared_tokens
            ),
        )
        requirements = backend_selection.BackendRequirements(
            'pool',
            model,
            prefixes=prefix_caches.list_prefixes(prompt, model)
            if request.part
            else [],
            tokens=request.input_tokens,
            objective=request.objective,
        )
        choice = gateway.selector.choose(requirements, self.service)
        return requirements, choice

    def _send(self, gateway, request, requirements, choice):
        instance = choice.backend.instance
        if requirements.prefixes:
            for peer in self.gateways:
                if self.hints_reach_all or peer.region == gateway.region:
                    peer.index.add(
                        instance,
                        requirements.prefixes,
                        self.service.cache_tokens,
                    )
        if gateway.departures:
            gateway.departures.record('pool', choice)
        self.sent.append(
            (
                self.now,
                gateway.domain,
                choice.backend.failure_domain,
                choice.left_reason,
            )
        )
        copy_seconds = None
        if choice.source is not None:
            copied_bytes = (
                choice.copied_tokens * self.service.cache_token_bytes
            )
            self.copied_bytes += copied_bytes
            copy_seconds = (
                backend_selection.COPY_SETUP_SECONDS
                + prefix_placement.estimate_link_seconds(
                    copied_bytes,
                    self.service.copy_bytes_per_second,
                    choice.backend.region != choice.source.region,
                )
            )
        if gateway.usage:
            gateway.usage.record(self.service, choice)
        work = gateway.server_backlogs.start(instance, choice.seconds)
        remote = REMOTE_SECONDS * (choice.backend.region != gateway.region)
        first_byte_at, read_tokens = self.engines[instance].read(
            requirements.model, request, self.now, copy_seconds
        )
        return work, first_byte_at + remote, read_tokens

    def _begin(self, gateway, request):
        requirements, choice = self._choose(gateway, request, TIERS[0])
        self._try(
            gateway,
            request,
            tier_choice.TierChoice(TIERS),
            requirements,
            choice,
            self.now,
            0,
        )

    def _try(
        self, gateway, request, tier, requirements, choice, received_at, tokens
    ):
        work, at, read_tokens = self._send(
            gateway, request, requirements, choice
        )
        tokens += read_tokens
        own_tokens = request.input_tokens - request.shared_tokens
        self.engine_seconds += (
            (read_tokens + own_tokens)
            / TOKENS_PER_SECOND[tier.model]
            / self.speed
        )
        if self._is_learning:
            uncached = request.input_tokens - choice.held_tokens
            self.schedule(
                at,
                self._record_first_byte,
                gateway,
                choice,
                self.now,
                uncached,
            )
        self.schedule(
            at, self._answer, gateway, request, tier, received_at, work, tokens
        )

    def _answer(self, gateway, request, tier, received_at, work, tokens):
        gateway.server_backlogs.end(work)
        confidence = min(1.0, request.confidence + GAINS[tier.model])
        tier.record_gain(confidence, gateway.confidence_gains)
        index = tier.find_sufficient_tier(confidence, gateway.confidence_gains)
        if index is not None:
            requirements, choice = self._choose(gateway, request, TIERS[index])
            if tier.is_escalation_worthwhile(
                self.now + choice.wait + choice.seconds,
                received_at,
                request.objective,
                choice.wait,
                choice.busy_seconds,
                choice.server_count,
                request.urgency,
            ):
                tier.escalate(index, confidence)
                self._try(
                    gateway,
                    request,
                    tier,
                    requirements,
                    choice,
                    received_at,
                    tokens,
                )
                return
        self._finish(
            request,
            self.now - received_at,
            confidence >= ADEQUATE_CONFIDENCE,
            tokens,
        )

    def _finish(self, request, seconds, is_adequate, read_tokens):
        self.results.append(Result(request, seconds, is_adequate, read_tokens))


def count_share(results, condition) -> float:
    """Returns the share of results for which a condition holds."""
    return sum(map(condition, results)) / len(results)
