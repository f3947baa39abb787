"""Versions of sessions that gateways must agree on while a rollout runs.

Without a rollout, the version of a session follows from the configuration.
While one moves a range of sessions, pins in that range are saved in the
store, in batches: one document for each bucket of a rollout.
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

BUCKETS = 64
FLUSH_SECONDS = 1.0
READ_SECONDS = 0.5
FRESH_SECONDS = 2.0
MAX_TRIES = 4
MAX_BUCKET_PINS = 8_000


def name_pin(pin: sessions.PinKey) -> str:
    """Returns a pin's name in its bucket."""
    return json.dumps(pin, ensure_ascii=False)


def bucket_key(rollout: str, pin: sessions.PinKey) -> str:
    """Returns the store key under which a pin is saved."""
    number = xxhash.xxh3_64_intdigest(name_pin(pin).encode()) % BUCKETS
    return f'pins/{rollout}/{number:02d}'


def merge_pins(saved: dict[str, str], added: dict[str, str]) -> dict[str, str]:
    """Returns pins in which the first saved version of a session stays."""
    merged = {**added, **saved}
    if len(merged) > MAX_BUCKET_PINS:
        raise errors.StoreError(f'more than {MAX_BUCKET_PINS} pins')
    return merged


class PinKeeper:
    """Pins of a gateway, shared over the store in ranges that move.

    Args:
        table: Pins that this gateway has seen.
        rollouts: Tells which rollout moves a session; has
            ``find_range(key)`` and ``revision``.
        store: Client of the store.
    """

    def __init__(
        self,
        table: sessions.PinTable,
        rollouts,
        store: store_client.StoreClient,
    ):
        self._table = table
        self._rollouts = rollouts
        self._store = store
        self._pending: dict[str, dict[str, str]] = {}
        self._buckets: dict[str, tuple[float, dict[str, str]]] = {}
        self._scanned = -1

    @staticmethod
    def make_key(call: calls.Call) -> sessions.PinKey:
        """Returns the key of a call's session."""
        return (call.organisation, call.session, call.model)

    async def lookup(self, call: calls.Call) -> str:
        """Returns the version that a session has had, empty if unknown.

        The store is asked only for sessions that a rollout may move. When it
        does not answer in time, the configuration decides.
        """
        key = self.make_key(call)
        found = self._table.lookup(key, clock.now())
        if found:
            return found
        rollout = self._rollouts.find_session_rollout(f'{key[0]}/{key[1]}')
        if not rollout:
            return ''
        name = bucket_key(rollout, key)
        deadline, pins = self._buckets.get(name, (-math.inf, {}))
        if clock.has_passed(deadline):
            try:
                with anyio.fail_after(READ_SECONDS):
                    entry = await self._store.get(name)
                pins = json.loads(entry.value) if entry else {}
            except (TimeoutError, errors.StoreError) as exc:
                logs.LOG.warning('pins not read: %s', exc)
            # After a failure too: an outage must not delay each request.
            self._buckets[name] = (clock.make_deadline(FRESH_SECONDS), pins)
        # A concurrent request of the session may have been placed meanwhile.
        return self._table.lookup(key, clock.now()) or pins.get(
            name_pin(key), ''
        )

    def save(
        self, call: calls.Call, version: str, may_change: bool = False
    ) -> None:
        """Keeps the version of a session.

        Raises:
            InvariantViolation: The session would change its version without
                a reason.
        """
        key = self.make_key(call)
        known = self._table.lookup(key, clock.now())
        self._table.save(key, version, clock.now(), may_change)
        if known != version:
            self._enqueue(key, version)

    def _enqueue(self, key: sessions.PinKey, version: str) -> None:
        rollout = self._rollouts.find_session_rollout(f'{key[0]}/{key[1]}')
        if rollout:
            pins = self._pending.setdefault(bucket_key(rollout, key), {})
            pins[name_pin(key)] = version

    async def flush(self) -> None:
        """Saves pins that wait.

        Raises:
            StoreError: Some pins could not be saved and wait on.
        """
        if self._scanned != self._rollouts.revision:
            # A rollout has begun or has a wider range: sessions seen before
            # must keep their version at every gateway.
            self._scanned = self._rollouts.revision
            for key, version in self._table:
                self._enqueue(key, version)
        for name in list(self._pending):
            pins = self._pending.pop(name)
            try:
                await self._save_bucket(name, pins)
            except errors.StoreError:
                self._pending[name] = {**pins, **self._pending.get(name, {})}
                raise

    async def _save_bucket(self, name: str, pins: dict[str, str]) -> None:
        for _ in range(MAX_TRIES):
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
                # The next read tells what is saved.
                continue
            self._buckets.pop(name, None)
            return
        raise errors.StoreError(f'{name} not saved')

    async def run(self) -> None:
        """Saves pins in batches until cancelled."""
        while True:
            await anyio.sleep(clock.jitter(FLUSH_SECONDS))
            try:
                await self.flush()
            except errors.StoreError as exc:
                logs.LOG.warning('pins not saved: %s', exc)


class Sessions:
    """Finds the session of a request and signs the token of its answer.

    Args:
        signer: Signs tokens.
        keeper: Pins of sessions with ids chosen by callers.
    """

    def __init__(self, signer: sessions.TokenSigner, keeper: PinKeeper):
        self._signer = signer
        self._keeper = keeper

    async def find_session(self, call: calls.Call, token: str) -> None:
        """Fills in session and pin of a call.

        Args:
            call: The call; ``session`` holds the id chosen by the caller.
            token: Session token, empty without one.

        Raises:
            RefusalError: The token is not valid for the organisation.
        """
        if token:
            found = self._signer.read(token, call.organisation)
            if call.session and call.session != found.id:
                raise errors.RefusalError(
                    'invalid_request', 'token and X-Session differ'
                )
            call.session = found.id
            if call.model in (found.model, chat.AUTO_MODEL, found.version):
                call.pin = found.version
                call.is_pin_signed = True
        elif call.session:
            call.pin = await self._keeper.lookup(call)

    def keep_session(
        self,
        call: calls.Call,
        version: str,
        excluded: dict[str, str],
        has_token: bool,
    ) -> None:
        """Keeps the version that was chosen for a call's session.

        Args:
            call: The call.
            version: Version of its first step.
            excluded: Versions that may not run the call, with reasons.
            has_token: Whether the caller keeps a token of the session.

        Raises:
            InvariantViolation: The session would change its version without
                a reason.
        """
        may_change = call.pin in excluded
        if call.pin and call.pin != version and not may_change:
            raise errors.InvariantViolation(
                'session_version',
                f'{call.session} moved from {call.pin} to {version}',
            )
        if call.session and not has_token:
            self._keeper.save(call, version, may_change)

    def make_headers(self, call: calls.Call, version: str) -> dict[str, str]:
        """Returns the response header with the session's token."""
        session = sessions.Session(
            call.organisation, call.session or call.id, call.model, version
        )
        return {'x-session-token': self._signer.sign(session)}
