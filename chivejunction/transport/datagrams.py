"""Sending of UDP datagrams by several tasks."""

import socket

import anyio
from anyio import abc

from chivejunction import logs
from chivejunction import metrics

MAX_PORT = 65535
UNSENT = metrics.make_counter(
    'datagrams_unsent', 'Datagrams that could not be sent.', 'reason'
)


def is_address(address) -> bool:
    """Returns whether a value is an IPv4 address with a port."""
    try:
        host, port = address
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, TypeError, ValueError):
        return False
    return isinstance(port, int) and 0 < port <= MAX_PORT


class DatagramSender:
    """Sends datagrams on a socket that several tasks share.

    Args:
        udp: The socket. anyio allows one send at a time.
    """

    def __init__(self, udp: abc.UDPSocket):
        self._udp = udp
        self._lock = anyio.Lock()

    async def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram; one that cannot be sent counts as lost.

        Args:
            data: The datagram.
            address: IP address and port of the receiver.

        Raises:
            anyio.ClosedResourceError: The socket was closed.
            anyio.BrokenResourceError: The socket was closed after an error.
        """
        # asyncio closes the socket after other errors than OSError, and
        # resolves names.
        if not is_address(address):
            UNSENT.labels('address').inc()
            logs.LOG.debug('datagram not sent, no address: %r', address)
            return
        try:
            async with self._lock:
                await self._udp.sendto(data, *address)
        except OSError as exc:
            UNSENT.labels('error').inc()
            logs.LOG.debug('datagram not sent to %s: %s', address, exc)
