"""Ratings of responses by the platform's rating service.

Responses are sent to the service in the background, or during the request
when its plan depends on the rating. Ratings that the service makes later are
fetched from it; those that do not arrive in time count as missing.
"""

import collections
from collections.abc import Callable
import dataclasses
import math

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.state import estimates
from chivejunction.state import views
from chivejunction.transport import http_client

POLL_INTERVAL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
CHECK_TIMEOUT_SECONDS = 0.5
# A rating that has not arrived after this time counts as missing.
RATING_TIMEOUT_SECONDS = 120.0
# After this time a rating is no longer matched to its request.
RETENTION_SECONDS = 900.0
MAX_OUTSTANDING = 20_000
MAX_QUEUED = 1_000
SENDER_COUNT = 4
MAX_RATED_BYTES = 256 * 1024
# Weight of a new check in the moving average of successful ones.
SUCCESS_SMOOTHING_FACTOR = 0.05
OFFSET_UPDATE_INTERVAL_SECONDS = 10.0
# Interval of checks that find out whether the service is available again.
PROBE_INTERVAL_SECONDS = 5.0
MIN_SUCCESS_SHARE = 0.2
MAX_SEQUENCE = 2**63 - 1


@dataclasses.dataclass(slots=True)
class RatedResponse:
    """A response that was sent to a caller or may be sent to it.

    Attributes:
        request: Id of the request.
        version: Version that made the response.
        request_class: Class of the request.
        organisation: Organisation of the request.
        content: Body of the response, empty once it was sent for rating.
        missing_deadline: Monotonic time in seconds from which its rating
            counts as missing.
        is_missing: Whether its rating was counted as missing.
    """

    request: str
    version: str
    request_class: str
    organisation: str
    content: bytes
    missing_deadline: float = math.inf
    is_missing: bool = False


RatingObserver = Callable[[RatedResponse, float | None, float], None]


class RatingTracker:
    """Tracks the responses whose ratings are outstanding.

    Each response counts once, as rated or as missing. A late rating replaces
    the missing one.

    Args:
        qualities: Estimates to which ratings are added.
    """

    def __init__(self, qualities: estimates.QualityEstimates):
        self._qualities = qualities
        self._outstanding: collections.OrderedDict[
            tuple[str, str], RatedResponse
        ] = collections.OrderedDict()
        self._observers: list[RatingObserver] = []

    def __len__(self) -> int:
        return len(self._outstanding)

    def add_observer(self, observer: RatingObserver) -> None:
        """Adds a function to call with each rating.

        Args:
            observer: Called with the response, its rating (None for a missing
                one) and the monotonic time in seconds.
        """
        self._observers.append(observer)

    def add_outstanding(self, response: RatedResponse, now: float) -> None:
        """Adds a response that is sent to the rating service.

        When there are more than MAX_OUTSTANDING, the rating of the oldest one
        counts as missing.
        """
        response.missing_deadline = now + RATING_TIMEOUT_SECONDS
        key = (response.request, response.version)
        if key in self._outstanding:
            return
        self._outstanding[key] = response
        if len(self._outstanding) > MAX_OUTSTANDING:
            _, oldest = self._outstanding.popitem(last=False)
            self._mark_missing(oldest, now)

    def record_rating(
        self, request: str, version: str, rating: float, now: float
    ) -> bool:
        """Adds a rating to the estimates and passes it to the observers.

        A rating that is not a number from 0 to 1 is dropped and its response
        stays outstanding.

        Returns:
            Whether the rating is valid and its response was outstanding.
        """
        if not isinstance(rating, int | float) or not 0 <= rating <= 1:
            return False
        response = self._outstanding.pop((request, version), None)
        if response is None:
            return False
        key = (response.version, response.request_class, response.organisation)
        if response.is_missing:
            self._qualities.remove_missing(*key, now)
        self._qualities.add_rating(*key, rating, now)
        for observer in self._observers:
            observer(response, rating, now)
        return True

    def _mark_missing(self, response: RatedResponse, now: float) -> None:
        if response.is_missing:
            return
        response.is_missing = True
        self._qualities.add_missing(
            response.version,
            response.request_class,
            response.organisation,
            now,
        )
        for observer in self._observers:
            observer(response, None, now)

    def expire(self, now: float) -> None:
        """Counts ratings as missing whose deadline has passed.

        Responses are removed after RETENTION_SECONDS.
        """
        late_seconds = RETENTION_SECONDS - RATING_TIMEOUT_SECONDS
        for key, response in list(self._outstanding.items()):
            if response.missing_deadline > now:
                break
            self._mark_missing(response, now)
            if response.missing_deadline + late_seconds <= now:
                del self._outstanding[key]


class RatingClient:
    """Client of the platform's rating service.

    Args:
        url: Base URL, empty when there is no rating service.
        client: HTTP client.
        tracker: Tracks the responses whose ratings are outstanding.
        qualities: Estimates to which ratings are added.
        view: Configuration of the gateway.
        cost: Cost of one check in cost units.

    Attributes:
        dropped: Responses that were not sent because the queue was full.
    """

    def __init__(
        self,
        url: str,
        client: http_client.Client,
        tracker: RatingTracker,
        qualities: estimates.QualityEstimates,
        view: views.ConfigView,
        cost: float = 0.0,
    ):
        self._url = url.rstrip('/')
        self._client = client
        self._view = view
        self._qualities = qualities
        self.tracker = tracker
        self.cost = cost
        self.dropped = 0
        self._success_share = 1.0 if url else 0.0
        self._probe_deadline = 0.0
        self._last_sequence = 0
        self._send, self._receive = anyio.create_memory_object_stream[
            RatedResponse
        ](MAX_QUEUED)

    def estimate_success(self, now: float) -> float:
        """Returns the expected share of checks that end in time.

        A service below MIN_SUCCESS_SHARE counts as down, and the result is 0.
        One call in each PROBE_INTERVAL_SECONDS gets MIN_SUCCESS_SHARE, so
        that its check finds out whether the service is available again.
        """
        if self._success_share >= MIN_SUCCESS_SHARE:
            return self._success_share
        if self._url and now >= self._probe_deadline:
            self._probe_deadline = now + PROBE_INTERVAL_SECONDS
            return MIN_SUCCESS_SHARE
        return 0.0

    def _record_check(self, succeeded: bool) -> None:
        self._success_share += SUCCESS_SMOOTHING_FACTOR * (
            succeeded - self._success_share
        )

    async def check(
        self, response: RatedResponse, deadline: float
    ) -> float | None:
        """Has a response rated during its request.

        Args:
            response: The response.
            deadline: Monotonic time in seconds until which a rating is
                useful.

        Returns:
            The rating from 0 to 1, less the offset of the rating service;
            None if there is none in time.
        """
        rating_deadline = min(
            deadline, clock.make_deadline(CHECK_TIMEOUT_SECONDS)
        )
        rating = None
        if self._url and not clock.has_passed(rating_deadline):
            self.tracker.add_outstanding(response, clock.now())
            rating = await self._post(response, rating_deadline)
        self._record_check(rating is not None)
        if rating is None:
            return None
        return min(max(rating - self._qualities.offset, 0.0), 1.0)

    def submit(self, response: RatedResponse) -> None:
        """Queues a response to be sent to the rating service.

        Never waits: when the queue is full, the response is not rated.
        """
        if not self._url:
            return
        try:
            self._send.send_nowait(response)
        except anyio.WouldBlock:
            self.dropped += 1

    async def _post(
        self, response: RatedResponse, deadline: float
    ) -> float | None:
        """Returns the rating in the reply of the service, None without one."""
        try:
            status, value = await self._client.call_json(
                'POST',
                f'{self._url}/v1/ratings',
                deadline,
                {
                    'request': response.request,
                    'version': response.version,
                    'request_class': response.request_class,
                    'answer': response.content.decode(errors='replace'),
                },
            )
        except errors.TransportError as exc:
            logs.LOG.debug(
                'no rating for request %s: %s', response.request, exc
            )
            return None
        if status != 200 or not isinstance(value, dict):
            return None
        rating = value.get('rating')
        if self.tracker.record_rating(
            response.request, response.version, rating, clock.now()
        ):
            return rating
        return None

    async def _send_responses(self) -> None:
        async for response in self._receive:
            self.tracker.add_outstanding(response, clock.now())
            await self._post(
                response, clock.make_deadline(CALL_TIMEOUT_SECONDS)
            )
            response.content = b''

    async def poll(self) -> None:
        """Fetches the ratings since the last call.

        Raises:
            TransportError: The service cannot be reached or fails.
            ValueError: The service sent something other than a list of
                ratings.
        """
        status, value = await self._client.call_json(
            'GET',
            f'{self._url}/v1/ratings?since={self._last_sequence}',
            clock.make_deadline(CALL_TIMEOUT_SECONDS),
        )
        if status != 200:
            raise errors.TransportError(
                f'rating service returned status {status}'
            )
        items = value.get('ratings') if isinstance(value, dict) else None
        if not isinstance(items, list):
            raise ValueError('no list of ratings from rating service')
        invalid_count = sum(not self._record_item(item) for item in items)
        if invalid_count:
            logs.LOG.warning('dropped %d invalid ratings', invalid_count)

    def _record_item(self, item) -> bool:
        """Records a rating of a list; returns whether it has valid fields."""
        try:
            sequence = int(item['sequence'])
            key = item['request'], item['version']
            rating = item['rating']
        except errors.MALFORMED_DOCUMENT_ERRORS:
            return False
        if not (
            0 <= sequence <= MAX_SEQUENCE
            and all(isinstance(name, str) for name in key)
        ):
            return False
        self._last_sequence = max(self._last_sequence, sequence)
        self.tracker.record_rating(*key, rating, clock.now())
        return True

    async def _poll_ratings(self) -> None:
        while True:
            await anyio.sleep(clock.jitter(POLL_INTERVAL_SECONDS))
            try:
                await self.poll()
            except (errors.TransportError, ValueError) as exc:
                logs.LOG.warning('ratings not fetched: %s', exc)

    async def _expire_responses(self) -> None:
        offset_deadline = 0.0
        while True:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            self.tracker.expire(clock.now())
            if clock.has_passed(offset_deadline):
                offset_deadline = clock.make_deadline(
                    OFFSET_UPDATE_INTERVAL_SECONDS
                )
                new_versions = frozenset(
                    r.to_version for r in self._view.rollouts.values()
                )
                self._qualities.update_offset(
                    self._view.versions, new_versions
                )

    async def run(self) -> None:
        """Sends responses and fetches ratings until cancelled."""
        if not self._url:
            await anyio.sleep_forever()
        async with anyio.create_task_group() as group:
            for _ in range(SENDER_COUNT):
                group.start_soon(self._send_responses)
            group.start_soon(self._poll_ratings)
            group.start_soon(self._expire_responses)
