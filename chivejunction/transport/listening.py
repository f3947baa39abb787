"""Listening sockets.

The module imports only ``socket``, so that a program that needs a listening
socket early starts quickly.
"""

import socket

# Connections that the kernel queues until the program accepts them.
LISTEN_BACKLOG = 1024


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


def accept_queued(listener: socket.socket) -> list[socket.socket]:
    """Returns the connections that wait in the queue of a listening socket.

    Closing the socket would reset them.

    Args:
        listener: Non-blocking listening socket.
    """
    accepted = []
    while True:
        try:
            connection, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return accepted
        connection.setblocking(False)
        accepted.append(connection)
