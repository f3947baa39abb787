"""Versions of sessions: signed tokens and pins."""

import collections
import dataclasses
import hmac
import math

import itsdangerous

from chivejunction import errors

SALT = 'chivejunction.session'
# A session that was idle for longer may get another version.
IDLE_SECONDS = 6 * 3600.0
MAX_PINS = 100_000

PinKey = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A session of a caller with the version that serves it.

    Attributes:
        organisation: Organisation that the session belongs to.
        id: Id of the session.
        model: Model that the caller names in this session.
        version: Version that serves the session.
    """

    organisation: str
    id: str
    model: str
    version: str


def derive_key(secret: str) -> str:
    """Returns a signing key that does not reveal the secret behind it."""
    return hmac.digest(secret.encode(), SALT.encode(), 'sha256').hex()


class TokenSigner:
    """Signs and reads session tokens.

    All gateways share the keys. To rotate them, first add the new key as
    ``previous`` everywhere, then swap the two, then remove the old one.

    Args:
        key: Key that signs.
        previous: Key whose tokens are accepted too, empty without one.
    """

    def __init__(self, key: str, previous: str = ''):
        # The last key signs; all are accepted.
        keys = [previous, key] if previous else [key]
        self._serializer = itsdangerous.URLSafeSerializer(keys, salt=SALT)

    def sign(self, session: Session) -> str:
        """Returns the token of a session."""
        return self._serializer.dumps(list(dataclasses.astuple(session)))

    def read(self, token: str, organisation: str) -> Session:
        """Returns the session of a token.

        Args:
            token: Token that the caller sent.
            organisation: Organisation of the caller.

        Raises:
            RefusalError: The signature is wrong, or the token belongs to
                another organisation.
        """
        try:
            found = Session(*self._serializer.loads(token))
        except (itsdangerous.BadData, TypeError) as exc:
            raise errors.RefusalError(
                'invalid_request', 'the session token is not valid'
            ) from exc
        if found.organisation != organisation:
            # Must not tell whose token it is.
            raise errors.RefusalError(
                'forbidden', 'the session token is not valid here'
            )
        return found


class PinTable:
    """Versions of the sessions that a gateway has seen, by PinKey.

    The least recently used pins are dropped above the limit.

    Args:
        max_pins: Limit of pins.
    """

    def __init__(self, max_pins: int = MAX_PINS):
        self._max_pins = max_pins
        self._pins: collections.OrderedDict[PinKey, tuple[str, float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._pins)

    def __iter__(self):
        return iter([(key, pin[0]) for key, pin in self._pins.items()])

    def lookup(self, key: PinKey, now: float) -> str:
        """Returns the version of a session, empty if it is not known."""
        version, deadline = self._pins.get(key, ('', -math.inf))
        return version if now < deadline else ''

    def save(
        self, key: PinKey, version: str, now: float, may_change: bool = False
    ) -> None:
        """Keeps the version of a session.

        Args:
            key: Organisation, session id and model.
            version: Version that serves the session.
            now: Monotonic time in seconds.
            may_change: Whether the former version may serve no more.

        Raises:
            InvariantViolation: The session would change its version without
                a reason.
        """
        old = self.lookup(key, now)
        if old and old != version and not may_change:
            raise errors.InvariantViolation(
                'session_version',
                f'{key[1]} of {key[0]} moved from {old} to {version}',
            )
        self._pins[key] = (version, now + IDLE_SECONDS)
        self._pins.move_to_end(key)
        if len(self._pins) > self._max_pins:
            self._pins.popitem(last=False)
