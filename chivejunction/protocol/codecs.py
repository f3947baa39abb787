"""Codecs for messages between the system's own processes."""

import abc

import cbor2
import msgpack

from chivejunction import errors
from chivejunction import registry

CODECS: registry.Registry['Codec'] = registry.Registry('codec')


class Codec(abc.ABC):
    """Turns lists, maps, text, bytes and numbers into bytes and back."""

    @abc.abstractmethod
    def encode(self, value) -> bytes:
        """Returns the encoded value."""

    @abc.abstractmethod
    def decode(self, data: bytes):
        """Returns the decoded value.

        Raises:
            CodecError: The data is not valid in this codec.
        """


class MsgpackCodec(Codec):
    """Codec over the msgpack library."""

    def encode(self, value) -> bytes:
        """Returns the msgpack form of a value."""
        return msgpack.packb(value)

    def decode(self, data: bytes):
        """Returns the value of msgpack data."""
        try:
            return msgpack.unpackb(data, strict_map_key=False)
        except (ValueError, msgpack.UnpackException) as exc:
            raise errors.CodecError(f'invalid msgpack: {exc}') from exc


class CborCodec(Codec):
    """Codec over the cbor2 library."""

    def encode(self, value) -> bytes:
        """Returns the CBOR form of a value."""
        return cbor2.dumps(value)

    def decode(self, data: bytes):
        """Returns the value of CBOR data."""
        try:
            return cbor2.loads(data)
        except (ValueError, EOFError, cbor2.CBORError) as exc:
            raise errors.CodecError(f'invalid CBOR: {exc}') from exc


CODECS.register('msgpack')(MsgpackCodec())
CODECS.register('cbor')(CborCodec())
