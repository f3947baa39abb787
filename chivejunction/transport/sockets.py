"""Options of sockets against silent peers, and their ends."""

import select
import socket

import anyio
from anyio import abc

# A peer whose host has lost power answers no probe; with these the kernel
# gives a connection up after about four seconds (the platform's page on
# networks: connections to such a host hang without them).
UNACKNOWLEDGED_MS = 4000
PROBE_AFTER_SECONDS = 2
PROBE_EVERY_SECONDS = 1
PROBES = 2
# Errors by which a stream tells that its connection has ended.
LOST = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


def set_probes(sock) -> None:
    """Lets the kernel notice a peer that has vanished."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_EVERY_SECONDS),
        (socket.TCP_KEEPCNT, PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def get_socket(stream: abc.SocketStream):
    """Returns the socket beneath a stream."""
    return stream.extra(abc.SocketAttribute.raw_socket)


def is_readable(stream: abc.SocketStream) -> bool:
    """Tells whether bytes or an end wait on a stream, without reading."""
    poll = select.poll()
    poll.register(get_socket(stream).fileno(), select.POLLIN)
    return bool(poll.poll(0))


def reset(stream: abc.SocketStream) -> None:
    """Makes the close of a stream a reset, which no reader takes for an end.

    The stream must be closed afterwards.
    """
    try:
        get_socket(stream).setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            b'\x01\x00\x00\x00\x00\x00\x00\x00',
        )
    except OSError:
        # The connection has already ended, so there is nothing to reset.
        return
