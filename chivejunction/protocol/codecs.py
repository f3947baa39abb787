"""Codecs for the messages between gateways and agents."""

import abc

import cbor2
import msgpack

from chivejunction import errors
from chivejunction import registry

# A map whose key is a list, for example, raises TypeError.
DECODE_ERRORS = (
    *errors.MALFORMED_DOCUMENT_ERRORS,
    EOFError,
    cbor2.CBORError,
    msgpack.UnpackException,
)
CODECS: registry.Registry['Codec'] = registry.Registry('codec')


class Codec(abc.ABC):
    """Serialises lists, maps, text, bytes and numbers."""

    @abc.abstractmethod
    def encode(self, value) -> bytes:
        """Returns the encoded value."""

    @abc.abstractmethod
    def decode(self, data: bytes):
        """Returns the decoded value.

        Raises:
            CodecError: The data is not valid in this encoding.
        """


class MsgpackCodec(Codec):
    """Encodes values as msgpack."""

    def encode(self, value) -> bytes:
        """Returns a value encoded as msgpack."""
        return msgpack.packb(value)

    def decode(self, data: bytes):
        """Returns the value decoded from msgpack."""
        try:
            return msgpack.unpackb(data, strict_map_key=False)
        except DECODE_ERRORS as exc:
            raise errors.CodecError(f'invalid msgpack: {exc}') from exc


class CborCodec(Codec):
    """Encodes values as CBOR."""

    def encode(self, value) -> bytes:
        """Returns a value encoded as CBOR."""
        return cbor2.dumps(value)

    def decode(self, data: bytes):
        """Returns the value decoded from CBOR."""
        try:
            return cbor2.loads(data)
        except DECODE_ERRORS as exc:
            raise errors.CodecError(f'invalid CBOR: {exc}') from exc


CODECS.register('msgpack')(MsgpackCodec())
CODECS.register('cbor')(CborCodec())
