"""Session pins: the model versions that serve sessions.

Without a rollout, the configuration determines the version of a session at
every gateway. While a rollout moves a share of the sessions, gateways agree on
their versions through pins in the store. Pins are saved in batches; each
rollout has a fixed number of buckets. A bucket has one or more pages, with one
store key each, which are filled in order. A full page never changes.
"""

import dataclasses
import json
import math

import anyio
import xxhash

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction.protocol import chat
from chivejunction.state import calls
from chivejunction.state import sessions
from chivejunction.transport import store_client

BUCKET_COUNT = 64
FLUSH_INTERVAL_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 0.5
BUCKET_CACHE_TTL_SECONDS = 2.0
MAX_WRITE_ATTEMPTS = 4
# A page that reaches one of these limits is full. The store accepts values of
# 1.5 MB, in base64.
MAX_PAGE_PINS = 8_000
MAX_PAGE_BYTES = 768 * 1024
MAX_PAGES = 4


def make_pin_field(pin: sessions.PinKey) -> str:
    """Returns the field name of a pin in its bucket."""
    return json.dumps(pin, ensure_ascii=False)


def make_bucket_key(rollout: str, pin: sessions.PinKey) -> str:
    """Returns the store key of the bucket that holds a pin."""
    number = (
        xxhash.xxh3_64_intdigest(make_pin_field(pin).encode()) % BUCKET_COUNT
    )
    return f'pins/{rollout}/{number:02d}'


def make_page_key(bucket: str, number: int) -> str:
    """Returns the store key of a page of a bucket."""
    return f'{bucket}/{number}' if number else bucket


def decode_pins(value: bytes) -> dict[str, str]:
    """Returns the versions of a page by field.

    Raises:
        StoreError: The value is no page.
    """
    try:
        page = json.loads(value)
        # Half surrogates cannot be written back.
        ''.join([*page, *page.values()]).encode()
    except errors.MALFORMED_DOCUMENT_ERRORS as exc:
        raise errors.StoreError(f'malformed session pins: {exc!r}') from exc
    return page


def encode_pins(page: dict[str, str]) -> bytes:
    """Returns the store value of a page."""
    return json.dumps(page, ensure_ascii=False).encode()


def measure_pin(field: str, version: str) -> int:
    """Returns about how many bytes a pin takes in its page."""
    return len(field.encode()) + len(version.encode())


def is_full(page: dict[str, str]) -> bool:
    """Returns whether a page takes no more pins."""
    return (
        len(page) >= MAX_PAGE_PINS
        or sum(map(measure_pin, page, page.values())) >= MAX_PAGE_BYTES
    )


def merge_pins(
    saved: dict[str, str], added: dict[str, str]
) -> tuple[dict[str, str], dict[str, str]]:
    """Adds pins to a page until it is full.

    A saved version takes precedence, so that the first one that any gateway
    has saved for a session stays.

    Returns:
        The page and the pins that it has no room for.
    """
    page, rest = dict(saved), {}
    size = sum(map(measure_pin, page, page.values()))
    for field, version in added.items():
        if field in page:
            continue
        if len(page) >= MAX_PAGE_PINS or size >= MAX_PAGE_BYTES:
            rest[field] = version
            continue
        page[field] = version
        size += measure_pin(field, version)
    return page, rest


@dataclasses.dataclass(slots=True)
class Bucket:
    """Pages of a bucket as last read.

    Attributes:
        pages: Versions by field, for each page.
        full_count: Number of full pages, which need not be read again.
        deadline: Monotonic time until which no page need be read again.
    """

    pages: list[dict[str, str]] = dataclasses.field(default_factory=list)
    full_count: int = 0
    deadline: float = -math.inf

    def lookup(self, field: str) -> str:
        """Returns the version of a pin, empty without one."""
        for page in self.pages:
            if field in page:
                return page[field]
        return ''

    def set_page(self, number: int, page: dict[str, str]) -> None:
        """Replaces a page."""
        self.pages[number : number + 1] = [page]
        if is_full(page):
            self.full_count = max(self.full_count, number + 1)


class SharedPins:
    """Session pins of a gateway, shared through the store during rollouts.

    Args:
        table: Pins that this gateway holds in memory.
        rollouts: Rollouts of the gateway, with ``find_session_rollout(key)``
            and ``revision``.
        store: Client of the store.
    """

    def __init__(
        self,
        table: sessions.PinTable,
        rollouts,
        store: store_client.StoreClient,
    ):
        self._local_pins = table
        self._rollouts = rollouts
        self._store = store
        self._pending_pins: dict[str, dict[str, str]] = {}
        self._cached_buckets: dict[str, Bucket] = {}
        self._enqueued_revision = -1

    @staticmethod
    def make_key(call: calls.Call) -> sessions.PinKey:
        """Returns the key of a call's session."""
        return (call.organisation, call.session, call.model)

    async def lookup(self, call: calls.Call) -> str:
        """Returns the version that a session is pinned to, empty if unknown.

        The store is read only for sessions that a rollout may move. If it
        does not respond in time, pins of an earlier read are used. Without a
        pin, the configuration determines the version.
        """
        key = self.make_key(call)
        pinned = self._local_pins.lookup(key, clock.now())
        if pinned:
            return pinned
        rollout = self._rollouts.find_session_rollout(f'{key[0]}/{key[1]}')
        if not rollout:
            return ''
        name = make_bucket_key(rollout, key)
        bucket = self._cached_buckets.setdefault(name, Bucket())
        if clock.has_passed(bucket.deadline):
            try:
                with anyio.fail_after(READ_TIMEOUT_SECONDS):
                    await self._read_bucket(name, bucket)
            except (TimeoutError, errors.StoreError) as exc:
                logs.LOG.warning(
                    'cannot read session pins from the store: %s', exc
                )
            # Set after a failure too, so that an outage of the store does
            # not delay each request.
            bucket.deadline = clock.make_deadline(BUCKET_CACHE_TTL_SECONDS)
        # A concurrent request of the session may have been pinned during the
        # read.
        return self._local_pins.lookup(key, clock.now()) or bucket.lookup(
            make_pin_field(key)
        )

    async def _read_bucket(self, name: str, bucket: Bucket) -> None:
        while (number := bucket.full_count) < MAX_PAGES:
            entry = await self._store.get(make_page_key(name, number))
            page = decode_pins(entry.value) if entry else {}
            bucket.set_page(number, page)
            if not is_full(page):
                return

    def save(
        self, call: calls.Call, version: str, may_change: bool = False
    ) -> None:
        """Pins the session of a call to a version.

        Args:
            call: Call of the session.
            version: Version that serves the session.
            may_change: Whether the session may move to another version.

        Raises:
            InvariantViolation: The session has another version and may not
                change it.
        """
        key = self.make_key(call)
        previous = self._local_pins.lookup(key, clock.now())
        self._local_pins.save(key, version, clock.now(), may_change)
        if previous != version:
            self._enqueue(key, version)

    def _enqueue(self, key: sessions.PinKey, version: str) -> None:
        rollout = self._rollouts.find_session_rollout(f'{key[0]}/{key[1]}')
        if rollout:
            pins = self._pending_pins.setdefault(
                make_bucket_key(rollout, key), {}
            )
            pins[make_pin_field(key)] = version

    async def flush(self) -> None:
        """Writes the pending pins to the store.

        Raises:
            StoreError: Some pins could not be saved; they stay pending.
        """
        if self._enqueued_revision != self._rollouts.revision:
            # A rollout may have started or may move a larger share: sessions
            # that this gateway has pinned before must keep their version at
            # every gateway.
            self._enqueued_revision = self._rollouts.revision
            for key, version in self._local_pins.list_pins(clock.now()):
                self._enqueue(key, version)
        for name in list(self._pending_pins):
            pins = self._pending_pins.pop(name)
            try:
                await self._save_bucket(name, pins)
            except errors.StoreError:
                self._pending_pins[name] = {
                    **pins,
                    **self._pending_pins.get(name, {}),
                }
                raise

    async def _save_bucket(self, name: str, pins: dict[str, str]) -> None:
        bucket = self._cached_buckets.setdefault(name, Bucket())
        for page in bucket.pages[: bucket.full_count]:
            _, pins = merge_pins(page, pins)
        while pins and (number := bucket.full_count) < MAX_PAGES:
            key = make_page_key(name, number)
            page, pins = await self._save_page(key, pins)
            bucket.set_page(number, page)
        if pins:
            logs.LOG.warning(
                'no room in %s for %d session pins', name, len(pins)
            )

    async def _save_page(
        self, key: str, pins: dict[str, str]
    ) -> tuple[dict[str, str], dict[str, str]]:
        """Returns the page and the pins that it has no room for."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            entry = await self._store.get(key)
            saved = decode_pins(entry.value) if entry else {}
            page, rest = merge_pins(saved, pins)
            if page == saved:
                return page, rest
            try:
                await self._store.swap(
                    key, encode_pins(page), entry.revision if entry else 0
                )
            except (errors.StoreConflict, errors.StoreResultUnknown):
                # The next read shows which pins are saved.
                continue
            return page, rest
        raise errors.StoreError(
            f'{key} not saved because of concurrent writes or lost responses'
        )

    async def run(self) -> None:
        """Saves pins in batches until cancelled."""
        while True:
            containment.expect_progress()
            await anyio.sleep(clock.jitter(FLUSH_INTERVAL_SECONDS))
            try:
                await self.flush()
            except errors.StoreError as exc:
                logs.LOG.warning(
                    'cannot save session pins, will retry: %s', exc
                )


class SessionManager:
    """Identifies the sessions of calls and makes their tokens.

    Args:
        signer: Signs and verifies session tokens.
        shared_pins: Pins of the sessions whose ids are chosen by callers.
    """

    def __init__(self, signer: sessions.TokenSigner, shared_pins: SharedPins):
        self._signer = signer
        self._shared_pins = shared_pins

    async def resolve_session(self, call: calls.Call, token: str) -> None:
        """Sets ``session``, ``pin`` and ``is_pin_signed`` of a call.

        Args:
            call: Call whose ``session`` holds the id chosen by the caller.
            token: Session token, empty without one.

        Raises:
            RefusalError: The token is not valid for the organisation, or
                names another session than the call.
        """
        if token:
            session = self._signer.verify(token, call.organisation)
            if call.session and call.session != session.id:
                raise errors.RefusalError(
                    'invalid_request',
                    'token and X-Session differ',
                )
            call.session = session.id
            if call.model in (session.model, chat.AUTO_MODEL, session.version):
                call.pin = session.version
                call.is_pin_signed = True
        elif call.session:
            call.pin = await self._shared_pins.lookup(call)

    def pin_session(
        self,
        call: calls.Call,
        version: str,
        excluded: dict[str, str],
        has_token: bool,
    ) -> None:
        """Pins a call's session to the version that was selected for it.

        Args:
            call: The call.
            version: Version of its first step.
            excluded: Versions that may not run the call, with reasons. A
                session pinned to one of these may change its version.
            has_token: Whether the caller sent a session token. It holds the
                version, so that no pin is saved.

        Raises:
            InvariantViolation: The session has another version and may not
                change it.
        """
        may_change = call.pin in excluded
        if call.pin and call.pin != version and not may_change:
            raise errors.InvariantViolation(
                'session_version',
                f'{call.session} moved from {call.pin} to {version}',
            )
        if call.session and not has_token:
            self._shared_pins.save(call, version, may_change)

    def make_headers(self, call: calls.Call, version: str) -> dict[str, str]:
        """Returns the response header with the token of a call's session."""
        session = sessions.Session(
            call.organisation, call.session or call.id, call.model, version
        )
        return {'x-session-token': self._signer.sign(session)}
