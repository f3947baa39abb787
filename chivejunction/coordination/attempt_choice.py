"""Choice of the next attempt of a request: server, tier and retry budget."""

from collections.abc import Callable

import anyio

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction.coordination import departures
from chivejunction.coordination import hints
from chivejunction.coordination import organisation_shares
from chivejunction.coordination import prefix_usage
from chivejunction.coordination import request_context
from chivejunction.coordination import version_moves
from chivejunction.protocol import features
from chivejunction.scheduling import admission
from chivejunction.scheduling import backend_selection
from chivejunction.scheduling import fair_shares
from chivejunction.scheduling import tier_choice
from chivejunction.scheduling import waiting
from chivejunction.state import backlogs
from chivejunction.state import budgets
from chivejunction.state import prefix_caches

# Longest wait for a server with free capacity, as a share of the route's
# objective.
MAX_CAPACITY_WAIT_SHARE = 1 / 8
# Time from the receipt of a request in which it may be sent once more to a
# server that has failed it, as a share of the objective, and the delay before.
REPEAT_SHARE = 2.0
REPEAT_DELAY_SECONDS = 0.1
# Capacity that returns with time, such as that of a cold or paused server, is
# noticed at this interval; all other capacity wakes the requests that wait.
CAPACITY_CHECK_SECONDS = 0.05
# Callers' estimates of the output length are right at the median but often
# far off. An escalation is skipped only if its response would miss the
# deadline even at this share of the estimated duration.
OPTIMISTIC_DURATION_SHARE = 0.7


class AttemptChooser:
    """Chooses attempts and announces their work to the other gateways.

    Args:
        selector: Chooses backend servers.
        make_budget: Creates the retry budget of this gateway for a service.
        moves: Provides the versions that may be used.
        server_backlogs: Estimated work that is queued at backend servers.
        running_attempts: Attempts in progress at backend servers.
        prefix_cache_index: Prompt prefixes that backend servers have cached.
        hint_exchange: Sends hints about load to the other gateways.
        enabled_features: Optional features that are switched on.
        domain_departures: Counts what leaves the failure domain; None if only
            regions matter.
        prefix_usage: Counts uses and copies of prefixes; None if prefixes
            are not placed by their rates.
    """

    def __init__(
        self,
        selector: backend_selection.BackendSelector,
        make_budget: Callable[[], budgets.WindowedBudget],
        moves: version_moves.VersionMoves,
        server_backlogs: backlogs.Backlogs,
        running_attempts: backlogs.Backlogs,
        prefix_cache_index: prefix_caches.PrefixCacheIndex,
        hint_exchange: hints.HintExchange,
        enabled_features: frozenset[features.Feature] = frozenset(),
        domain_departures: departures.Departures | None = None,
        prefix_usage: prefix_usage.PrefixUsage | None = None,
    ):
        self._features = enabled_features
        self._departures = domain_departures
        self._selector = selector
        self._make_budget = make_budget
        self._budgets: dict[str, budgets.WindowedBudget] = {}
        self._moves = moves
        self._server_backlogs = server_backlogs
        self._running_attempts = running_attempts
        self._running_ids: dict[int, int] = {}
        self._confidence_gains = tier_choice.ConfidenceGains()
        self._prefix_cache_index = prefix_cache_index
        self._hint_exchange = hint_exchange
        self._prefix_usage = prefix_usage
        self._waiting_line = waiting.WaitingLine()
        self._wake_events: dict[int, anyio.Event] = {}
        self.shares: organisation_shares.OrganisationShares | None = None
        self._share_work: dict[int, tuple[str, float, float]] = {}
        if features.Feature.FAIR_SHARES in enabled_features:
            self.shares = organisation_shares.OrganisationShares(
                self._list_backlogs,
                lambda service: self._waiting_line.find_longest_wait(
                    service, clock.now()
                ),
            )
            hint_exchange.add_section(self.shares.make_section())

    def _list_backlogs(self, service: str) -> list[float]:
        """Returns the backlog in seconds of each server of a service."""
        seconds = self._server_backlogs.estimate()
        return [
            seconds.get(instance, 0.0)
            for instance in self._selector.list_open_servers(service)
        ]

    def set_retry_limits(
        self, share: float, allowance: float, window_seconds: float
    ) -> None:
        """Sets the limits of all retry budgets.

        Args:
            share: Extra attempts per request.
            allowance: Extra attempts that are allowed regardless of the
                number of requests.
            window_seconds: Length of the window in seconds.
        """
        for budget in self._budgets.values():
            budget.set_limits(share, allowance, window_seconds)

    def get_retry_budget(self, service: str) -> budgets.WindowedBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def _make_requirements(
        self, context: request_context.RequestContext, model: str
    ) -> backend_selection.BackendRequirements:
        """Returns the requirements on the server of an attempt by a model."""
        regions = context.route.regions
        if context.organisation and context.organisation.regions:
            allowed = context.organisation.regions
            # '-' matches no region; an empty set would allow all of them.
            regions = (
                (regions & allowed or frozenset(['-'])) if regions else allowed
            )
        prefixes = []
        if not context.route.is_stream:
            model = ''
        if context.route.has_affinity:
            prefixes = prefix_caches.list_prefixes(
                context.request.prompt, model
            )
        requirements = backend_selection.BackendRequirements(
            service=context.service.name,
            model=model,
            regions=regions,
            prefixes=prefixes,
            tokens=context.request.input_tokens,
            events=(
                context.request.expected_tokens / context.service.event_tokens
            ),
            event_tokens=context.service.event_tokens,
            tolerated_pause=(
                context.route.event_gap
                if features.Feature.STREAM_PAUSES in self._features
                else 0.0
            ),
            objective=context.route.objective,
            seconds_left=clock.remaining(context.deadline),
            tried=frozenset(context.failed_instances),
            body_bytes=len(context.request.body),
        )
        requirements.is_version_allowed = self._moves.make_version_filter(
            context.service.name,
            request_context.get_affinity_key(context.request),
            lambda version: self._selector.has_warm_server(
                requirements, version
            ),
        )
        return requirements

    async def wait_for_backend(
        self, context: request_context.RequestContext
    ) -> backend_selection.Choice | None:
        """Waits for a backend server with free capacity.

        A request that was sent goes to a server again that has failed it, if
        there is no other one.

        Returns:
            The chosen server; None if none had capacity within
            MAX_CAPACITY_WAIT_SHARE of the route's objective, or in the time
            for repeats.

        Raises:
            RefusalError: No server can respond before the deadline, or the
                caller's organisation exceeds its share of scarce capacity.
        """
        requirements = self._make_requirements(
            context, context.tier.model or context.request.model
        )
        context.requirements = requirements
        await self._apply_shares(context)
        wait_until = clock.make_deadline(
            MAX_CAPACITY_WAIT_SHARE * context.route.objective
        )
        if (
            context.sent_attempts
            and context.failed_instances
            and not self._selector.has_server(requirements, wait_until)
        ):
            requirements.tried = frozenset()
            wait_until = min(
                context.deadline,
                context.request.received_at
                + REPEAT_SHARE * context.route.objective,
            )
            if not self._selector.has_server(requirements, wait_until):
                context.reason = context.reason or 'no server left'
                return None
            await anyio.sleep(clock.jitter(REPEAT_DELAY_SECONDS))
        # Requests that wait already go first.
        if not self._waiting_line.list_waiting(
            context.service.name, clock.now()
        ):
            choice = self._selector.choose(requirements, context.service)
            if choice is not None:
                return self._check_servable(context, choice)
        self._check_refusals(context)
        choice = await self._wait_in_line(context, wait_until)
        if choice is None:
            context.reason = context.reason or 'no server with room'
            return None
        return self._check_servable(context, choice)

    async def _apply_shares(
        self, context: request_context.RequestContext
    ) -> None:
        """Refuses or delays a first attempt beyond its organisation's share.

        Raises:
            RefusalError: The organisation's share is in use for longer than
                the request may wait here.
        """
        if (
            not self._has_share(context)
            or context.sent_attempts
            or context.failed_instances
            or context.resume_after is not None
        ):
            return
        organisation, service = context.organisation, context.service.name
        request = context.request
        decision = fair_shares.Decision(fair_shares.Action.ADMIT)
        with containment.contain('shares'):
            decision = self.shares.decide(
                service,
                organisation,
                context.route,
                context.urgency,
                clock.remaining(request.deadline),
                MAX_CAPACITY_WAIT_SHARE * context.route.objective,
                organisation_shares.hash_request(organisation.name, request),
            )
        if decision.action is fair_shares.Action.REFUSE:
            raise organisation_shares.make_refusal(
                service,
                organisation.name,
                decision,
                self.shares.find_share_used(service, organisation),
                clock.remaining(request.deadline),
                context.urgency,
            )
        if decision.action is fair_shares.Action.WAIT:
            await anyio.sleep(decision.seconds)

    def _has_share(self, context: request_context.RequestContext) -> bool:
        """Returns whether a request counts for its organisation's share."""
        return bool(
            self.shares and self.shares.is_active and context.organisation
        )

    def record_unserved(self, context: request_context.RequestContext) -> None:
        """Remembers a request without an answer, which may come again."""
        if self._has_share(context):
            self.shares.demand.record_failure(
                organisation_shares.hash_request(
                    context.organisation.name, context.request
                )
            )

    def _check_refusals(self, context: request_context.RequestContext) -> None:
        """Refuses a request for which all servers asked for time.

        Raises:
            RefusalError: No server takes requests before the wait for one
                would end, and nothing was sent.
        """
        seconds = clock.remaining(
            self._selector.find_refused_until(context.requirements)
        )
        max_wait = MAX_CAPACITY_WAIT_SHARE * context.route.objective
        if seconds > max_wait and not context.sent_attempts:
            raise errors.RefusalError(
                'overloaded',
                f'all servers take no requests for {seconds:.1f} s',
                retry_after=admission.choose_retry_after(
                    clock.remaining(context.request.deadline),
                    seconds,
                    context.urgency,
                    seconds,
                ),
            )

    async def _wait_in_line(
        self, context: request_context.RequestContext, deadline: float
    ) -> backend_selection.Choice | None:
        service, now = context.service.name, clock.now()
        ticket = self._waiting_line.add(
            service,
            context.urgency,
            context.request.received_at + context.route.objective,
            now,
            self._has_share(context)
            and self.shares.find_share_used(service, context.organisation) > 1,
        )
        try:
            while not clock.has_passed(min(deadline, context.last_attempt_at)):
                event = self._wake_events[ticket.number] = anyio.Event()
                check_at = clock.make_deadline(CAPACITY_CHECK_SECONDS)
                with anyio.move_on_at(min(deadline, check_at)) as scope:
                    await event.wait()
                if scope.cancelled_caught:
                    # Wakes those before it too, so that they try first.
                    self.wake_waiting(service)
                    await event.wait()
                choice = self._selector.choose(
                    context.requirements, context.service
                )
                if choice is not None:
                    return choice
            return None
        finally:
            self._waiting_line.remove(ticket)
            self._wake_events.pop(ticket.number, None)

    def wake_waiting(self, service: str) -> None:
        """Lets the requests that wait for a service try again, in order."""
        for ticket in self._waiting_line.list_waiting(service, clock.now()):
            if event := self._wake_events.get(ticket.number):
                event.set()

    @staticmethod
    def _check_servable(
        context: request_context.RequestContext,
        choice: backend_selection.Choice,
    ) -> backend_selection.Choice:
        """Returns a choice that can respond before the deadline.

        Raises:
            RefusalError: Even the best server cannot, and nothing was sent.
        """
        if context.sent_attempts or not admission.is_unservable(
            choice.wait + choice.seconds, clock.remaining(context.deadline)
        ):
            return choice
        raise errors.RefusalError(
            'overloaded',
            f'all servers have a backlog of {choice.wait:.1f} s or more',
            retry_after=admission.choose_retry_after(
                clock.remaining(context.request.deadline),
                choice.wait,
                context.urgency,
            ),
        )

    def can_retry_elsewhere(
        self, context: request_context.RequestContext
    ) -> bool:
        """Returns whether another attempt could be made at another server.

        Args:
            context: The request, with an attempt in progress.
        """
        if (
            not context.can_retry
            or self.get_retry_budget(context.service.name).remaining < 1
        ):
            return False
        requirements = self._make_requirements(
            context, context.tier.model or context.request.model
        )
        requirements.tried |= {context.choice.backend.instance}
        return bool(
            self._selector.list_candidates(requirements, context.service)
        )

    def try_escalate(
        self, context: request_context.RequestContext, confidence: float | None
    ) -> bool:
        """Switches to a larger tier if its response is worth the wait.

        The current response is kept if no server of the larger tier can
        respond in time, or if the attempts or the retry budget are exhausted.

        Args:
            context: The request; on success its tier and next choice change.
            confidence: Confidence of the current response, 0 to 1, or None.

        Returns:
            Whether the next attempt uses a larger tier.
        """
        if context.reply.has_started:
            return False
        context.tier.record_gain(confidence, self._confidence_gains)
        tier_index = context.tier.find_sufficient_tier(
            confidence, self._confidence_gains
        )
        if (
            tier_index is None
            or context.sent_attempts >= context.route.max_attempts
        ):
            return False
        requirements = self._make_requirements(
            context, context.tier.tiers[tier_index]
        )
        choice = self._selector.choose(requirements, context.service)
        if choice is None:
            return False
        first_byte_at = clock.now() + choice.wait + choice.seconds
        if not context.tier.is_escalation_worthwhile(
            first_byte_at,
            context.request.received_at,
            context.route.objective,
            choice.wait,
            choice.busy_seconds,
            choice.server_count,
            context.route.urgency,
        ) or (
            OPTIMISTIC_DURATION_SHARE * choice.total_seconds
            > requirements.seconds_left
        ):
            return False
        if not self.get_retry_budget(context.service.name).take():
            return False
        context.tier.escalate(tier_index, confidence)
        context.requirements, context.next_choice = requirements, choice
        return True

    def start_work(self, context, choice) -> int:
        """Adds an attempt to the backlog of its server.

        The other gateways are notified of the work and of the prompt prefixes
        that the server is going to cache.

        Returns:
            Id for ``end_work`` and ``end_attempt``; 0 if the attempt uses no
            model.
        """
        requirements, instance = context.requirements, choice.backend.instance
        if self._departures is not None:
            self._departures.record(requirements.service, choice)
        has_share = self._has_share(context)
        if has_share:
            self.shares.start_work(
                context.service.name,
                context.organisation.name,
                context.route.name,
                choice.seconds if requirements.model else None,
            )
        if not requirements.model:
            return 0
        if requirements.prefixes and context.service.cache_tokens:
            held_tokens = choice.held_tokens - choice.copied_tokens
            if held_tokens < requirements.prefixes[-1][1]:
                self._hint_exchange.add_prefixes(
                    instance, requirements.prefixes
                )
            self._prefix_cache_index.add(
                instance, requirements.prefixes, context.service.cache_tokens
            )
        if self._prefix_usage is not None:
            self._prefix_usage.record(context.service, choice)
        work_id = self._server_backlogs.start(instance, choice.seconds)
        self._running_ids[work_id] = self._running_attempts.start(instance, 1)
        if has_share:
            self._share_work[work_id] = (
                context.service.name,
                choice.seconds,
                clock.now(),
            )
        self._hint_exchange.schedule_send()
        return work_id

    def end_attempt(
        self,
        work_id: int,
        context: request_context.RequestContext,
        seconds: float,
    ) -> None:
        """Removes an attempt that has ended from the load of its server.

        Args:
            work_id: Return value of ``start_work``.
            context: The request.
            seconds: Time in seconds that the attempt took.
        """
        if work_id:
            self._running_attempts.end(self._running_ids.pop(work_id))
            # Without a first byte, the server has not done the work.
            self._share_work.pop(work_id, None)
            self.end_work(work_id)
        elif self._has_share(context):
            self.shares.end_slot(
                context.service.name, context.route.name, seconds
            )

    def end_work(self, work_id: int) -> None:
        """Removes an attempt from the backlog of its server.

        Called when the first byte has arrived or the attempt has failed.

        Args:
            work_id: Return value of ``start_work``.
        """
        if work_id:
            self._server_backlogs.end(work_id)
            self._hint_exchange.schedule_send()
        if work_id in self._share_work:
            self.shares.end_work(*self._share_work.pop(work_id))
