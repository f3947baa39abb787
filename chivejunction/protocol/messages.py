"""Frames of the data links between gateways and agents.

A batch is ``[sender, epoch, sequence, [frame, ...]]``; a frame is
``[type code, field, ...]``, with the fields in the order of its data class.
"""

import dataclasses
from typing import Any
from typing import ClassVar

from chivejunction import errors

FRAMES: dict[int, type['Frame']] = {}

MAX_DATA_BYTES = 64 * 1024


def register_frame(code: int):
    """Returns a class decorator that registers a frame under a type code."""

    def register(cls):
        if code in FRAMES:
            raise ValueError(f'frame code {code} is already registered')
        cls.code = code
        cls.field_names = tuple(f.name for f in dataclasses.fields(cls))
        FRAMES[code] = cls
        return cls

    return register


@dataclasses.dataclass(slots=True)
class Frame:
    """Base of all frames."""

    code: ClassVar[int]
    field_names: ClassVar[tuple[str, ...]]

    def pack(self) -> list:
        """Returns the frame as a list for a codec."""
        return [self.code, *[getattr(self, n) for n in self.field_names]]


def unpack_frame(packed: Any) -> Frame:
    """Returns the frame of a list that a codec has decoded.

    Raises:
        ProtocolError: The type code is unknown or the number of fields is
            wrong.
    """
    if not (type(packed) is list and packed and type(packed[0]) is int):
        raise errors.ProtocolError('malformed frame')
    kind = FRAMES.get(packed[0])
    if kind is None:
        raise errors.ProtocolError('unknown type code of a frame')
    try:
        return kind(*packed[1:])
    except TypeError as exc:
        raise errors.ProtocolError(f'malformed frame: {exc}') from exc


@register_frame(1)
@dataclasses.dataclass(slots=True)
class Hello(Frame):
    """Opens a link; sent by the gateway."""

    gateway: str
    incarnation: str
    epoch: int
    reply_address: str


@register_frame(2)
@dataclasses.dataclass(slots=True)
class Welcome(Frame):
    """Accepts a link; sent by the agent.

    ``info`` describes the server: host, failure_domain, region, pool.
    """

    agent: str
    incarnation: str
    epoch: int
    info: dict


@register_frame(3)
@dataclasses.dataclass(slots=True)
class Heartbeat(Frame):
    """Confirms that a link is alive; the agent adds its load.

    ``load`` maps abbreviated names of load figures to numbers, see
    state.servers.
    """

    revision: int
    load: dict


@register_frame(4)
@dataclasses.dataclass(slots=True)
class Start(Frame):
    """Requests that the agent run an attempt.

    ``target`` is a pool name, ``version`` a model version name or an empty
    string for a plain service; ``budget_ms`` is the time left in
    milliseconds; ``request`` is the id of the billed request.
    """

    attempt: str
    request: str
    organisation: str
    target: str
    version: str
    session: str
    idempotent: bool
    budget_ms: int
    revision: int
    priority: int
    method: str
    path: str
    headers: dict
    body: bytes


@register_frame(5)
@dataclasses.dataclass(slots=True)
class Admitted(Frame):
    """The agent has accepted an attempt and will run it."""

    attempt: str
    incarnation: str


@register_frame(6)
@dataclasses.dataclass(slots=True)
class Refused(Frame):
    """The agent refused an attempt; it has not run and will not run."""

    attempt: str
    error: str
    detail: str
    retry_after_ms: int


@register_frame(7)
@dataclasses.dataclass(slots=True)
class Head(Frame):
    """Status and headers of a response."""

    attempt: str
    status: int
    headers: dict


@register_frame(8)
@dataclasses.dataclass(slots=True)
class Data(Frame):
    """Part of a response body; ``offset`` is its position in bytes."""

    attempt: str
    offset: int
    payload: bytes


@register_frame(9)
@dataclasses.dataclass(slots=True)
class End(Frame):
    """End of a response whose body has ``length`` bytes.

    ``error`` is empty for a complete response; ``usage`` holds token counts.
    """

    attempt: str
    length: int
    verdict: int
    error: str
    usage: dict


@register_frame(10)
@dataclasses.dataclass(slots=True)
class Credit(Frame):
    """The gateway has relayed the response body up to an offset."""

    attempt: str
    offset: int


@register_frame(11)
@dataclasses.dataclass(slots=True)
class Cancel(Frame):
    """The gateway cancels an attempt."""

    attempt: str


@register_frame(12)
@dataclasses.dataclass(slots=True)
class Resolve(Frame):
    """Requests the state of an attempt.

    ``incarnation`` is the agent incarnation the attempt was sent to;
    ``offset`` is the number of body bytes already received.
    """

    attempt: str
    incarnation: str
    offset: int


@register_frame(13)
@dataclasses.dataclass(slots=True)
class Resolved(Frame):
    """Response to Resolve.

    ``state`` is one of running, finished, refused, blocked, unknown.
    """

    attempt: str
    incarnation: str
    state: str
    offset: int


@register_frame(14)
@dataclasses.dataclass(slots=True)
class Usage(Frame):
    """One usage record of an agent; records are sent in numerical order.

    ``stream`` identifies the sequence that ``number`` belongs to; ``record``
    is the packed record, see state.ledger.
    """

    stream: str
    number: int
    record: list


@register_frame(15)
@dataclasses.dataclass(slots=True)
class Saved(Frame):
    """Acknowledges that records up to a number are in the store."""

    stream: str
    number: int


@register_frame(16)
@dataclasses.dataclass(slots=True)
class Handover(Frame):
    """Requests that a gateway save the records of one that has left.

    ``records`` holds pairs of a number and a packed record.
    """

    gateway: str
    incarnation: str
    stream: str
    records: list


@register_frame(17)
@dataclasses.dataclass(slots=True)
class HandedOver(Frame):
    """Response to Handover: records up to a number are in the store."""

    stream: str
    number: int


USAGE_FRAMES = (Usage, Handover)
USAGE_ACK_FRAMES = (Saved, HandedOver)
