"""Model versions of sessions: signed session tokens and pins in memory."""

import collections
import dataclasses
import hmac
import math

import itsdangerous

from chivejunction import errors

SALT = 'chivejunction.session'
# A session that was idle for longer may be assigned another version.
IDLE_TIMEOUT_SECONDS = 6 * 3600.0
MAX_PINS = 100_000

PinKey = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A session of a caller and the version that serves it.

    Attributes:
        organisation: Organisation that the session belongs to.
        id: Id of the session.
        model: Model that the caller requests in the session.
        version: Version that serves the session.
    """

    organisation: str
    id: str
    model: str
    version: str


def derive_key(secret: str) -> str:
    """Derives a signing key from a secret, which the key does not reveal."""
    return hmac.digest(secret.encode(), SALT.encode(), 'sha256').hex()


class TokenSigner:
    """Signs and verifies session tokens.

    All gateways share the keys. To rotate them, first add the new key as
    ``previous`` at every gateway, then swap the two keys, then remove the old
    one.

    Args:
        key: Key that signs new tokens.
        previous: Further key whose tokens are accepted, empty without one.
    """

    def __init__(self, key: str, previous: str = ''):
        # URLSafeSerializer signs with the last key and accepts all of them.
        keys = [previous, key] if previous else [key]
        self._serializer = itsdangerous.URLSafeSerializer(keys, salt=SALT)

    def sign(self, session: Session) -> str:
        """Returns the token of a session."""
        return self._serializer.dumps(list(dataclasses.astuple(session)))

    def verify(self, token: str, organisation: str) -> Session:
        """Returns the session of a token after verifying the signature.

        Args:
            token: Token that the caller sent.
            organisation: Organisation of the caller.

        Raises:
            RefusalError: The token is malformed, its signature is wrong, or
                it belongs to another organisation.
        """
        try:
            session = Session(*self._serializer.loads(token))
        except (itsdangerous.BadData, TypeError) as exc:
            raise errors.RefusalError(
                'invalid_request',
                'the session token is not valid',
            ) from exc
        if session.organisation != organisation:
            # The message must not reveal which organisation owns the token.
            raise errors.RefusalError(
                'forbidden',
                'the session token is not valid here',
            )
        return session


class PinTable:
    """Versions of the sessions that a gateway has served, by PinKey.

    A pin expires when its session is idle for ``IDLE_TIMEOUT_SECONDS``. Above
    ``max_pins``, the least recently saved pins are evicted.

    Args:
        max_pins: Maximum number of pins.
    """

    def __init__(self, max_pins: int = MAX_PINS):
        self._max_pins = max_pins
        self._pins: collections.OrderedDict[PinKey, tuple[str, float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._pins)

    def list_pins(self, now: float) -> list[tuple[PinKey, str]]:
        """Returns the key and version of each unexpired pin."""
        return [
            (key, version)
            for key, (version, deadline) in self._pins.items()
            if now < deadline
        ]

    def lookup(self, key: PinKey, now: float) -> str:
        """Returns the version of a session, empty without an unexpired pin."""
        version, deadline = self._pins.get(key, ('', -math.inf))
        return version if now < deadline else ''

    def save(
        self, key: PinKey, version: str, now: float, may_change: bool = False
    ) -> None:
        """Pins a session to a version.

        Args:
            key: Organisation, session id and model.
            version: Version that serves the session.
            now: Monotonic time in seconds.
            may_change: Whether the session may move to another version,
                since its former one may no longer serve it.

        Raises:
            InvariantViolation: The session has another version and may not
                change it.
        """
        pinned = self.lookup(key, now)
        if pinned and pinned != version and not may_change:
            raise errors.InvariantViolation(
                'session_version',
                f'{key[1]} of {key[0]} moved from {pinned} to {version}',
            )
        self._pins[key] = (version, now + IDLE_TIMEOUT_SECONDS)
        self._pins.move_to_end(key)
        if len(self._pins) > self._max_pins:
            self._pins.popitem(last=False)
