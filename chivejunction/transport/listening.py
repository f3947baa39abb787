"""Listening sockets.

The module imports little, so that a program that needs a listening socket
early starts quickly.
"""

from collections.abc import Iterator
import errno
import socket

# Connections that the kernel queues until the program accepts them.
LISTEN_BACKLOG = 1024
# Errors of the connection to be accepted; the next one may be sound.
CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    )
)
# Failed accepts in a row after which the errors count as those of the socket.
MAX_FAILURES = 100


def bind_socket(address: str, port: int) -> socket.socket:
    """Returns a listening TCP socket.

    Raises:
        OSError: The address is in use or not assigned to this host.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, port))
        sock.listen(LISTEN_BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock


def accept_queued(listener: socket.socket) -> Iterator[socket.socket]:
    """Accepts the connections that wait in the queue of a listening socket.

    Closing the socket would reset them. Connections that have failed in the
    queue are left out.

    Args:
        listener: Non-blocking listening socket.

    Yields:
        The connections.

    Raises:
        OSError: The next connection could not be accepted, for example for
            lack of descriptors; it may wait on in the queue.
    """
    failures = 0
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as exc:
            failures += 1
            if exc.errno in CONNECTION_ERRORS and failures < MAX_FAILURES:
                continue
            raise
        failures = 0
        connection.setblocking(False)
        yield connection
