"""Choice of the next attempt of a request: server, tier and budget."""

from collections.abc import Callable

import anyio

from chivejunction import clock
from chivejunction.coordination import backend_selection
from chivejunction.coordination import hints
from chivejunction.coordination import trips
from chivejunction.coordination import version_moves
from chivejunction.state import backlogs
from chivejunction.state import budgets
from chivejunction.state import prefix_caches

# Part of the objective for which a request waits for a server with room.
WAIT_SHARE = 1 / 8
# Time between two looks for a server with room.
WAIT_STEP_SECONDS = 0.02
# Callers' guesses of the length are right in the middle and often far off; an
# answer that would be late even if it were this much shorter is not begun.
HOPE_SHARE = 0.7


class AttemptChooser:
    """Chooses attempts and tells the other gateways what they cost.

    Args:
        selector: Chooses servers.
        make_budget: Returns the extra attempts of this gateway for a
            service.
        moves: Versions that may be used.
        work: Work that waits at servers.
        holdings: Prompt beginnings that servers hold.
        peers: Tells the other gateways of this one's work.
    """

    def __init__(
        self,
        selector: backend_selection.BackendSelector,
        make_budget: Callable[[], budgets.WindowedBudget],
        moves: version_moves.VersionMoves,
        work: backlogs.Backlogs,
        holdings: prefix_caches.PrefixCacheIndex,
        peers: hints.Hints,
    ):
        self._selector = selector
        self._make_budget = make_budget
        self._budgets: dict[str, budgets.WindowedBudget] = {}
        self._moves = moves
        self._work = work
        self._holdings = holdings
        self._hints = peers

    def set_allowance(self, allowance: float) -> None:
        """Changes the extra attempts that need no requests."""
        for budget in self._budgets.values():
            budget.allowance = allowance

    def get_budget(self, service: str) -> budgets.WindowedBudget:
        """Returns the extra attempts at a service."""
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = self._make_budget()
        return found

    def _make_wish(
        self, trip: trips.Trip, model: str
    ) -> backend_selection.BackendRequirements:
        """Returns what a server has to offer for an attempt by a model."""
        regions = trip.route.regions
        if trip.organisation and trip.organisation.regions:
            own = trip.organisation.regions
            regions = (regions & own or frozenset(['-'])) if regions else own
        prefixes = []
        if not trip.route.is_stream:
            model = ''
        if trip.route.has_affinity:
            prefixes = prefix_caches.list_prefixes(trip.request.prompt, model)
        wish = backend_selection.BackendRequirements(
            service=trip.service.name,
            model=model,
            regions=regions,
            prefixes=prefixes,
            tokens=trip.request.input_tokens,
            events=trip.request.expected_tokens / trip.service.event_tokens,
            seconds_left=clock.remaining(trip.deadline),
            tried=frozenset(trip.tried),
        )
        wish.is_version_allowed = self._moves.make_version_filter(
            trip.service.name,
            trips.find_session(trip.request),
            lambda version: self._selector.has_version(
                wish, trip.service, version
            ),
        )
        return wish

    async def find_backend(
        self, trip: trips.Trip
    ) -> backend_selection.Choice | None:
        """Waits a moment for a server with room."""
        wish = self._make_wish(trip, trip.tier.model or trip.request.model)
        give_up = clock.make_deadline(WAIT_SHARE * trip.route.objective)
        while True:
            found = self._selector.choose(wish, trip.service)
            if found is not None:
                trip.wish = wish
                return found
            if clock.has_passed(give_up):
                trip.reason = trip.reason or 'no server with room'
                return None
            await anyio.sleep(WAIT_STEP_SECONDS)

    def escalate(self, trip: trips.Trip, confidence: float | None) -> bool:
        """Turns to the largest tier if its answer is worth the wait.

        The answer at hand stays where no server of the largest tier would
        answer in time, or none may be asked any more.
        """
        if (
            trip.reply.has_started
            or trip.sends >= trip.route.max_attempts
            or not trip.tier.should_escalate(confidence)
        ):
            return False
        wish = self._make_wish(trip, trip.tier.largest_model)
        choice = self._selector.choose(wish, trip.service)
        if choice is None:
            return False
        arrival = clock.now() + choice.wait + choice.seconds
        if not trip.tier.is_escalation_worthwhile(
            arrival,
            trip.request.received_at,
            trip.route.objective,
            choice.busy_seconds,
            trip.route.urgency,
        ) or (HOPE_SHARE * choice.total_seconds > wish.seconds_left):
            return False
        if not self.get_budget(trip.service.name).take():
            return False
        trip.tier.escalate()
        trip.wish, trip.next_choice = wish, choice
        return True

    def start_work(self, trip, choice) -> int:
        """Tells the other gateways what this attempt costs its server."""
        wish, instance = trip.wish, choice.backend.instance
        if not wish.model:
            return 0
        if wish.prefixes and trip.service.cache_tokens:
            held = choice.held_tokens - choice.copied_tokens
            if held < wish.prefixes[-1][1]:
                self._hints.add_prefixes(instance, wish.prefixes)
            self._holdings.add(
                instance, wish.prefixes, trip.service.cache_tokens
            )
        number = self._work.start(instance, choice.seconds)
        self._hints.notify()
        return number

    def end_work(self, number: int) -> None:
        """Tells that an attempt has its first byte, or has failed.

        Args:
            number: What ``start_work`` returned; 0 for work of no engine.
        """
        if number:
            self._work.end(number)
            self._hints.notify()
