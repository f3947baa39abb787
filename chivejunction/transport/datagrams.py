"""Sending of UDP datagrams by several tasks."""

import anyio
from anyio import abc

from chivejunction import logs


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
        """
        try:
            async with self._lock:
                await self._udp.sendto(data, *address)
        except OSError as exc:
            logs.LOG.debug('datagram not sent to %s: %s', address, exc)
