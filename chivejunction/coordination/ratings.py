"""Ratings of answers: sending, collecting, late and missing ones."""

import collections
from collections.abc import Callable
import dataclasses
import json
import math

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.state import estimates
from chivejunction.state import views
from chivejunction.transport import http_client

POLL_SECONDS = 1.0
CALL_SECONDS = 2.0
CHECK_SECONDS = 0.5
# A rating that has not come by then counts as missing.
MISSING_SECONDS = 120.0
# After that a rating is no longer matched to its request.
FORGET_SECONDS = 900.0
MAX_OUTSTANDING = 20_000
MAX_WAITING = 1_000
SENDERS = 4
MAX_ANSWER_BYTES = 256 * 1024
SUCCESS_STEP = 0.05
OFFSET_SECONDS = 10.0
# Tries a check again this long after the last one failed.
RETRY_SECONDS = 5.0
MIN_SUCCESS = 0.2


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer that was sent to a caller or is about to be.

    Attributes:
        request: Id of the request.
        version: Version that made the answer.
        request_class: Class of the request.
        organisation: Organisation of the request.
        content: Bytes of the answer, empty when it was too long to keep.
        missing_deadline: Monotonic time from which its rating is missing.
        is_missing: Whether it was counted as missing.
    """

    request: str
    version: str
    request_class: str
    organisation: str
    content: bytes
    missing_deadline: float = math.inf
    is_missing: bool = False


Observer = Callable[[Answer, float | None, float], None]


class RatingLog:
    """Answers whose rating is outstanding, with a table of estimates.

    Each answer is counted once as rated or once as missing; a late rating
    takes the missing one back.

    Args:
        qualities: Estimates that take the ratings.
    """

    def __init__(self, qualities: estimates.QualityEstimates):
        self._qualities = qualities
        self._outstanding: collections.OrderedDict[tuple[str, str], Answer] = (
            collections.OrderedDict()
        )
        self._observers: list[Observer] = []

    def __len__(self) -> int:
        return len(self._outstanding)

    def add_observer(self, observer: Observer) -> None:
        """Calls a function with each answer, its rating or None, and time."""
        self._observers.append(observer)

    def expect(self, answer: Answer, now: float) -> None:
        """Enters an answer that was sent to the rating service."""
        answer.missing_deadline = now + MISSING_SECONDS
        key = (answer.request, answer.version)
        if key in self._outstanding:
            return
        self._outstanding[key] = answer
        if len(self._outstanding) > MAX_OUTSTANDING:
            _, oldest = self._outstanding.popitem(last=False)
            self._mark_missing(oldest, now)

    def accept(
        self, request: str, version: str, rating: float, now: float
    ) -> bool:
        """Counts a rating; returns whether its answer was outstanding.

        A rating that is not a number from 0 to 1 is dropped and the answer
        stays outstanding.
        """
        if not isinstance(rating, int | float) or not 0 <= rating <= 1:
            return False
        answer = self._outstanding.pop((request, version), None)
        if answer is None:
            return False
        key = (answer.version, answer.request_class, answer.organisation)
        if answer.is_missing:
            self._qualities.remove_missing(*key, now)
        self._qualities.add_rating(*key, rating, now)
        for observer in self._observers:
            observer(answer, rating, now)
        return True

    def _mark_missing(self, answer: Answer, now: float) -> None:
        if answer.is_missing:
            return
        answer.is_missing = True
        self._qualities.add_missing(
            answer.version, answer.request_class, answer.organisation, now
        )
        for observer in self._observers:
            observer(answer, None, now)

    def expire(self, now: float) -> None:
        """Counts ratings as missing whose deadline has passed."""
        forget = FORGET_SECONDS - MISSING_SECONDS
        for key, answer in list(self._outstanding.items()):
            if answer.missing_deadline > now:
                break
            self._mark_missing(answer, now)
            if answer.missing_deadline + forget <= now:
                del self._outstanding[key]


class Raters:
    """Client of the platform's rating service.

    Args:
        url: Base URL, empty when there is no rating service.
        client: HTTP client.
        log: Outstanding answers.
        qualities: Estimates that take the ratings.
        view: Configuration of the gateway.
        cost: Cost of one check in cost units.
    """

    def __init__(
        self,
        url: str,
        client: http_client.Client,
        log: RatingLog,
        qualities: estimates.QualityEstimates,
        view: views.ConfigView,
        cost: float = 0.0,
    ):
        self._url = url.rstrip('/')
        self._client = client
        self._view = view
        self._qualities = qualities
        self.log = log
        self.cost = cost
        self.dropped = 0
        self._success = 1.0 if url else 0.0
        self._retry_deadline = 0.0
        self._since = 0
        self._send, self._receive = anyio.create_memory_object_stream[Answer](
            MAX_WAITING
        )

    def estimate_success(self, now: float) -> float:
        """Returns the share of checks that end in time.

        A service below MIN_SUCCESS counts as down. One check is let through
        every RETRY_SECONDS to find out whether it is back.
        """
        if self._success >= MIN_SUCCESS:
            return self._success
        if self._url and now >= self._retry_deadline:
            self._retry_deadline = now + RETRY_SECONDS
            return MIN_SUCCESS
        return 0.0

    def _note_check(self, good: bool) -> None:
        self._success += SUCCESS_STEP * (good - self._success)

    async def check(self, answer: Answer, deadline: float) -> float | None:
        """Returns the corrected rating of an answer, or None if it is late.

        Args:
            answer: The answer.
            deadline: Monotonic time until which the rating is useful.
        """
        until = min(deadline, clock.make_deadline(CHECK_SECONDS))
        rating = None
        if self._url and not clock.has_passed(until):
            self.log.expect(answer, clock.now())
            rating = await self._post(answer, until)
        self._note_check(rating is not None)
        if rating is None:
            return None
        return min(max(rating - self._qualities.offset, 0.0), 1.0)

    def submit(self, answer: Answer) -> None:
        """Sends an answer to the rating service in the background.

        Never waits: when too many wait, the answer is not rated.
        """
        if not self._url:
            return
        try:
            self._send.send_nowait(answer)
        except anyio.WouldBlock:
            self.dropped += 1

    async def _post(self, answer: Answer, deadline: float) -> float | None:
        try:
            status, value = await self._client.call_json(
                'POST',
                f'{self._url}/v1/ratings',
                deadline,
                {
                    'request': answer.request,
                    'version': answer.version,
                    'request_class': answer.request_class,
                    'answer': answer.content.decode(errors='replace'),
                },
            )
        except errors.TransportError as exc:
            logs.LOG.debug('rating of %s: %s', answer.request, exc)
            return None
        if status != 200 or not isinstance(value, dict):
            return None
        rating = value.get('rating')
        if self.log.accept(
            answer.request, answer.version, rating, clock.now()
        ):
            return rating
        return None

    async def _send_answers(self) -> None:
        async for answer in self._receive:
            self.log.expect(answer, clock.now())
            await self._post(answer, clock.make_deadline(CALL_SECONDS))
            answer.content = b''

    async def poll(self) -> None:
        """Fetches ratings once.

        Raises:
            TransportError: The service cannot be reached.
            ValueError: The service sent something else than ratings.
        """
        status, value = await self._client.call_json(
            'GET',
            f'{self._url}/v1/ratings?since={self._since}',
            clock.make_deadline(CALL_SECONDS),
        )
        if status != 200:
            raise errors.TransportError(f'rating service answered {status}')
        try:
            for item in value['ratings']:
                self._since = max(self._since, int(item['sequence']))
                self.log.accept(
                    item['request'],
                    item['version'],
                    item['rating'],
                    clock.now(),
                )
        except (KeyError, TypeError, json.JSONDecodeError) as exc:
            raise ValueError(f'not a list of ratings: {exc!r}') from exc

    async def _poll_ratings(self) -> None:
        while True:
            await anyio.sleep(clock.jitter(POLL_SECONDS))
            try:
                await self.poll()
            except (errors.TransportError, ValueError) as exc:
                logs.LOG.warning('ratings not fetched: %s', exc)

    async def _expire_answers(self) -> None:
        offset_deadline = 0.0
        while True:
            await anyio.sleep(POLL_SECONDS)
            self.log.expire(clock.now())
            if clock.has_passed(offset_deadline):
                offset_deadline = clock.make_deadline(OFFSET_SECONDS)
                introduced = frozenset(
                    r.to_version for r in self._view.rollouts.values()
                )
                self._qualities.update_offset(self._view.versions, introduced)

    async def run(self) -> None:
        """Sends answers and collects ratings until cancelled."""
        if not self._url:
            return
        async with anyio.create_task_group() as group:
            for _ in range(SENDERS):
                group.start_soon(self._send_answers)
            group.start_soon(self._poll_ratings)
            group.start_soon(self._expire_answers)
