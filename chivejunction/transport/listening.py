"""Listening sockets; nothing else is imported, so that a start is quick."""

import socket

# Connections that the kernel keeps until the program takes them.
WAITING_CONNECTIONS = 1024


def bind_socket(address: str, port: int) -> socket.socket:
    """Returns a listening TCP socket.

    Raises:
        OSError: The address is in use or is not one of this host.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(WAITING_CONNECTIONS)
    return sock
