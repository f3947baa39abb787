"""Streams of accepted connections that hold no data of their own.

The streams of anyio read up to 256 KB ahead of the reader and copy what is
written, which no bound on memory sees.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import socket
import typing

import anyio
from anyio import abc
from anyio import lowlevel

# Data that the kernel holds for a caller that is not read. It counts toward
# the memory of the host.
RECEIVE_BUFFER_BYTES = 32_768
# Unsent data that the kernel takes. With more, the progress of a caller that
# reads slowly would show only every few hundred KB.
UNSENT_BYTES = 16_384


class AcceptedStream(abc.ByteStream):
    """Stream of an accepted TCP connection.

    Args:
        sock: Non-blocking socket.

    Raises:
        OSError: The peer has reset the connection.
    """

    def __init__(self, sock: socket.socket):
        self._socket = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
            )

    @property
    def extra_attributes(self) -> Mapping[typing.Any, Callable]:
        """Typed attributes of the stream."""
        return {abc.SocketAttribute.raw_socket: lambda: self._socket}

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Returns the next bytes.

        A cancelled call loses no data.

        Raises:
            EndOfStream: The peer has closed its side.
            BrokenResourceError: The connection is lost.
            ClosedResourceError: The stream is closed.
        """
        while True:
            await self._wait(anyio.wait_readable)
            try:
                data = self._socket.recv(max_bytes)
            except BlockingIOError:
                continue
            except OSError as exc:
                raise anyio.BrokenResourceError from exc
            if not data:
                raise anyio.EndOfStream
            return data

    def send_available(self, item: bytes) -> int:
        """Sends what the kernel takes at once.

        Returns:
            The number of bytes; zero as well if the connection is lost, which
            the next call of ``send`` reports.
        """
        try:
            return self._socket.send(item)
        except OSError:
            return 0

    async def send(self, item: bytes) -> None:
        """Sends all bytes; a cancelled call may have sent a part.

        Raises:
            BrokenResourceError: The connection is lost.
            ClosedResourceError: The stream is closed.
        """
        await lowlevel.checkpoint_if_cancelled()
        view = memoryview(item)
        while view:
            try:
                view = view[self._socket.send(view) :]
            except BlockingIOError:
                await self._wait(anyio.wait_writable)
            except OSError as exc:
                raise anyio.BrokenResourceError from exc

    async def _wait(self, wait: Callable) -> None:
        if self._socket.fileno() < 0:
            raise anyio.ClosedResourceError
        await wait(self._socket)

    async def send_eof(self) -> None:
        """Closes the sending side."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    async def aclose(self) -> None:
        """Closes the connection; the kernel sends what was written."""
        self._socket.close()
        await lowlevel.checkpoint()
