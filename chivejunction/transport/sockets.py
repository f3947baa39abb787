"""TCP socket options for the detection of lost peers, and resets."""

import select
import socket

import anyio
from anyio import abc

# A host that has lost power does not answer probes. With these options the
# kernel closes a connection to it after about four seconds; without them such
# connections hang (see the platform's page on networks).
USER_TIMEOUT_MS = 4000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBE_COUNT = 2
# Errors raised by a stream whose connection is closed or lost.
DISCONNECT_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


def is_disconnect(error: BaseException) -> bool:
    """Returns whether an error is that of a connection closed or lost.

    So is a group of such errors; task groups raise their errors as groups.
    """
    if isinstance(error, BaseExceptionGroup):
        return error.split(DISCONNECT_ERRORS)[1] is None
    return isinstance(error, DISCONNECT_ERRORS)


def enable_keepalive(sock) -> None:
    """Enables the kernel's detection of unreachable peers."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def get_socket(stream: abc.SocketStream):
    """Returns the raw socket of a stream."""
    return stream.extra(abc.SocketAttribute.raw_socket)


def is_readable(stream: abc.SocketStream) -> bool:
    """Returns whether data or a close is pending, without reading."""
    poll = select.poll()
    poll.register(get_socket(stream).fileno(), select.POLLIN)
    return bool(poll.poll(0))


def reset_on_close(stream: abc.SocketStream) -> None:
    """Makes closing a stream send a reset.

    A reader cannot mistake a reset for the end of a response. The caller
    must close the stream afterwards.
    """
    try:
        get_socket(stream).setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            # struct linger: l_onoff = 1, l_linger = 0.
            b'\x01\x00\x00\x00\x00\x00\x00\x00',
        )
    except OSError:
        # The connection is already closed, so there is nothing to reset.
        return
