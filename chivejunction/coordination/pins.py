"""Session pins: the model versions that serve sessions.

Without a rollout, the configuration determines the version of a session at
every gateway. While a rollout moves a share of the sessions, gateways agree on
their versions through pins in the store. Pins are saved in batches; each
rollout has a fixed number of buckets with one store key each.
"""

import json
import math

import anyio
import xxhash

from chivejunction import clock
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
MAX_BUCKET_PINS = 8_000


def make_pin_field(pin: sessions.PinKey) -> str:
    """Returns the field name of a pin in its bucket."""
    return json.dumps(pin, ensure_ascii=False)


def make_bucket_key(rollout: str, pin: sessions.PinKey) -> str:
    """Returns the store key of the bucket that holds a pin."""
    number = (
        xxhash.xxh3_64_intdigest(make_pin_field(pin).encode()) % BUCKET_COUNT
    )
    return f'pins/{rollout}/{number:02d}'


def merge_pins(saved: dict[str, str], added: dict[str, str]) -> dict[str, str]:
    """Returns the saved and the added pins.

    A saved version takes precedence, so that the first one that any gateway
    has saved for a session stays.

    Raises:
        StoreError: The pins exceed ``MAX_BUCKET_PINS``.
    """
    merged = {**added, **saved}
    if len(merged) > MAX_BUCKET_PINS:
        raise errors.StoreError(
            f'session pins exceed {MAX_BUCKET_PINS} in one bucket'
        )
    return merged


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
        self._cached_buckets: dict[str, tuple[float, dict[str, str]]] = {}
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
        deadline, pins = self._cached_buckets.get(name, (-math.inf, {}))
        if clock.has_passed(deadline):
            try:
                with anyio.fail_after(READ_TIMEOUT_SECONDS):
                    entry = await self._store.get(name)
                pins = json.loads(entry.value) if entry else {}
            except (TimeoutError, errors.StoreError) as exc:
                logs.LOG.warning(
                    'cannot read session pins from the store: %s', exc
                )
            # Cached after a failure too, so that an outage of the store does
            # not delay each request.
            self._cached_buckets[name] = (
                clock.make_deadline(BUCKET_CACHE_TTL_SECONDS),
                pins,
            )
        # A concurrent request of the session may have been pinned during the
        # read.
        return self._local_pins.lookup(key, clock.now()) or pins.get(
            make_pin_field(key), ''
        )

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
        for _ in range(MAX_WRITE_ATTEMPTS):
            entry = await self._store.get(name)
            saved = json.loads(entry.value) if entry else {}
            merged = merge_pins(saved, pins)
            if merged == saved:
                return
            try:
                await self._store.swap(
                    name,
                    json.dumps(merged, ensure_ascii=False).encode(),
                    entry.revision if entry else 0,
                )
            except (errors.StoreConflict, errors.StoreResultUnknown):
                # The next read shows which pins are saved.
                continue
            self._cached_buckets.pop(name, None)
            return
        raise errors.StoreError(
            f'{name} not saved because of concurrent writes or lost responses'
        )

    async def run(self) -> None:
        """Saves pins in batches until cancelled."""
        while True:
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
