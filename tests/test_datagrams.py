"""Tests of sending datagrams on a shared socket."""

import contextlib
import socket

import anyio
import pytest

from chivejunction.transport import datagrams
from tests.forward_rig import run_async


@contextlib.asynccontextmanager
async def start():
    """Yields a sender, its socket and a socket that receives."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(('127.0.0.1', 0))
        receiver.settimeout(2)
        async with await anyio.create_udp_socket(
            family=socket.AF_INET, local_host='127.0.0.1'
        ) as udp:
            yield datagrams.DatagramSender(udp), udp, receiver


class TestBadAddresses:
    """Guards against an address that closes the socket for all others."""

    @pytest.mark.parametrize(
        'address',
        [
            ('127.0.0.1', 65536),
            ('127.0.0.1', -1),
            ('127.0.0.1', 0),
            ('127.0.0.1', 10**400),
            ('127.0.0.1', 1.5),
            ('127.0.0.1', '80'),
            ('127.0.0.1', None),
            (None, 80),
            (b'127.0.0.1', 80),
            ('127.0.0.1\0', 80),
            ('\ud83d', 80),
            ('a..b', 80),
            ('x' * 100, 80),
            ('localhost', 80),
            ('', 80),
            ('::1', 80),
            ('255.255.255.255', 9),
            ('127.0.0.1', 80, 1),
            (),
            None,
        ],
    )
    @run_async
    async def test_others_are_served(self, address):
        async with start() as (sender, _, receiver):
            await sender.send(b'x', address)
            await sender.send(b'next', receiver.getsockname())
            assert receiver.recv(100) == b'next'

    @run_async
    async def test_datagram_that_is_too_long_is_lost(self):
        async with start() as (sender, _, receiver):
            await sender.send(b'x' * 100_000, receiver.getsockname())
            await sender.send(b'next', receiver.getsockname())
            assert receiver.recv(100) == b'next'


class TestClosedSocket:
    """Guards against a task that sends on a closed socket for ever."""

    @run_async
    async def test_closed_by_its_owner(self):
        async with start() as (sender, udp, receiver):
            await udp.aclose()
            with pytest.raises(anyio.ClosedResourceError):
                await sender.send(b'x', receiver.getsockname())

    @run_async
    async def test_closed_by_an_error(self):
        async with start() as (sender, udp, receiver):
            udp._transport.abort()
            with pytest.raises(anyio.BrokenResourceError):
                await sender.send(b'x', receiver.getsockname())
