"""A crowd of callers that operators do not control, at a real gateway.

The crowd and the bounds are fixed. Nothing here depends on how fast the
machine is: the process must live, stay within the memory and the descriptors
of its settings, and answer an ordinary request while the crowd stays.
"""

import contextlib
import dataclasses
import io
import json
import os
import pathlib
import re
import selectors
import socket
import time

import pytest

from bench import ports
from chivejunction.platform import servers
from chivejunction.transport import caller_connections
from fakes import forward_server
from fakes import platform_documents
from tests import test_real_processes as processes

# Settings of the gateway; machines have 128 MB and 3075 descriptors at least.
MEMORY_MB = 84
MAX_DESCRIPTORS = 600
MEBIBYTE = 1024 * 1024
# Largest legal body.
MAX_BODY_BYTES = 4 * MEBIBYTE
CHUNK_BYTES = 64
# Time limits that only a gateway that hangs meets.
CROWD_SECONDS = 40.0
QUIET_SECONDS = 2.5
ANSWER_SECONDS = 30.0


class EchoServer(forward_server.ForwardServer):
    """Backend server that responds with the body that it received."""

    async def _respond(self, raw, values, reply, headers):
        body = raw.body + b'@' + processes.INSTANCE.encode()
        await reply.send_response(200, headers, body)


class SmallGateway(processes.Gateway):
    """Gateway on a host with little memory."""

    def make_settings(self):
        """Returns the content of the settings file."""
        limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_DESCRIPTORS}
        return {**super().make_settings(), 'limits': limits}


def make_head(rig, fields, target='/safe/x'):
    """Returns the head of a request."""
    lines = [
        f'POST {target} HTTP/1.1',
        'Host: shop.example',
        f'Request-Id: {rig.make_id()}',
        f'X-Api-Key: {processes.KEY}',
        'Deadline-Ms: 20000',
        *fields,
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def make_request(rig, size):
    """Returns the bytes of a complete request."""
    return make_head(rig, [f'Content-Length: {size}']) + b'x' * size


def make_chunked_request(rig, size):
    """Returns the bytes of a request in small chunks, without its end."""
    chunk = b'%x\r\n%s\r\n' % (CHUNK_BYTES, b'x' * CHUNK_BYTES)
    head = make_head(rig, ['Transfer-Encoding: chunked'])
    return head + chunk * (size // CHUNK_BYTES)


# What one member of a crowd sends on its connection.
FORMS = {
    'whole': lambda rig: make_request(rig, MAX_BODY_BYTES),
    'large_short': lambda rig: make_request(rig, MAX_BODY_BYTES)[:-1],
    'short': lambda rig: make_request(rig, 65_000)[:-1],
    'pieces': lambda rig: make_chunked_request(rig, 60_000),
    'heads': lambda rig: make_head(rig, ['A: ' + 'a' * 15_000])[:-1],
    'ahead': lambda rig: b''.join(make_request(rig, 60_000) for _ in range(4)),
    'unread': lambda rig: b''.join(
        make_request(rig, 500_000) for _ in range(8)
    ),
    'idle': lambda rig: make_request(rig, 100),
}
READING_FORMS = ('whole', 'large_short', 'short', 'pieces', 'heads')


@dataclasses.dataclass
class Member:
    """A caller of the crowd.

    Attributes:
        form: Name of what it sends.
        source: Address that it connects from.
        returns: Number of times that it comes back after a close.
        data: Bytes to be sent.
        sent: Number of them that were sent.
    """

    form: str
    source: str
    returns: int = 0
    data: bytes = b''
    sent: int = 0


class Crowd:
    """Sends what its members have, as far as the gateway reads it.

    Args:
        gateway: Gateway that the crowd connects to.
        counts: Number of members by form.
        sources: Number of addresses that the members share.
        returns: Number of times that each comes back after a close.
    """

    def __init__(self, gateway, counts, sources=1, returns=0):
        self._gateway = gateway
        self._selector = selectors.DefaultSelector()
        self._progress_at = time.monotonic()
        self._kept: list[socket.socket] = []
        self.max_descriptors = 0
        self.max_memory = 0.0
        members = [
            Member(form, '', returns)
            for form, count in counts.items()
            for _ in range(count)
        ]
        for number, member in enumerate(members):
            member.source = f'127.0.0.{2 + number % sources}'
            self._connect(member)

    def _connect(self, member):
        sock = socket.socket()
        sock.setblocking(False)
        sock.bind((member.source, 0))
        # A response that is not read stays at the gateway.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        address = (self._gateway.address, self._gateway.rig.ports[0])
        sock.connect_ex(address)
        member.data = FORMS[member.form](self._gateway.rig)
        member.sent = 0
        self._selector.register(sock, selectors.EVENT_WRITE, member)

    def run(self):
        """Sends until nothing moves any more; all connections stay open."""
        end = time.monotonic() + CROWD_SECONDS
        self._progress_at = time.monotonic()
        sample_at = 0.0
        while time.monotonic() < min(end, self._progress_at + QUIET_SECONDS):
            for key, events in self._selector.select(0.1):
                self._serve(key.fileobj, key.data, events)
            if time.monotonic() > sample_at:
                sample_at = time.monotonic() + 0.2
                self._sample()
        self._sample()

    def _sample(self):
        self.max_descriptors = max(
            self.max_descriptors, count_descriptors(self._gateway)
        )
        self.max_memory = max(self.max_memory, read_peak_memory(self._gateway))

    def _serve(self, sock, member, events):
        try:
            if events & selectors.EVENT_WRITE:
                part = member.data[member.sent : member.sent + MEBIBYTE]
                member.sent += sock.send(part)
                self._progress_at = time.monotonic()
                if member.sent < len(member.data):
                    return
                member.data, member.sent = b'', 0
                if member.form in READING_FORMS:
                    self._selector.modify(sock, selectors.EVENT_READ, member)
                else:
                    self._selector.unregister(sock)
                    self._kept.append(sock)
            elif sock.recv(65536):
                return
            else:
                raise ConnectionResetError
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(sock)
            sock.close()
            if member.returns:
                member.returns -= 1
                self._connect(member)

    def close(self):
        """Closes all connections."""
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        for sock in self._kept:
            sock.close()
        self._selector.close()


def count_descriptors(gateway):
    """Returns the number of descriptors that the process has open."""
    return len(os.listdir(f'/proc/{gateway.process.pid}/fd'))


def read_peak_memory(gateway):
    """Returns the memory of the process in MB, larger than at any time so far.

    What it has received and not read counts too.
    """
    status = pathlib.Path(f'/proc/{gateway.process.pid}/status').read_text()
    peak = int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) / 1024
    port = f':{gateway.rig.ports[0]:04X}'
    received = 0
    with open('/proc/net/tcp', encoding='ascii') as table:
        for row in map(str.split, table):
            # Connections that wait to be accepted have no inode.
            if row[1].endswith(port) and row[9] != '0':
                received += int(row[4].partition(':')[2], 16)
    return peak + received / MEBIBYTE


def request_calmly(gateway):
    """Returns whether a single request of the largest size is served."""
    sock = gateway.connect()
    with contextlib.closing(sock):
        sock.settimeout(ANSWER_SECONDS)
        try:
            sock.sendall(make_request(gateway.rig, MAX_BODY_BYTES - 100))
            data = b''
            while b'@' + processes.INSTANCE.encode() not in data[-20:]:
                part = sock.recv(MEBIBYTE)
                if not part:
                    return False
                data += part
        except OSError:
            return False
    return data.startswith(b'HTTP/1.1 200')


class Rig(processes.Rig):
    """A store, a server that echoes bodies and one small gateway."""

    def start_server(self):
        """Starts the backend server and adds its entry to the store."""
        port = ports.ALLOCATOR.find_port()
        server = EchoServer(processes.INSTANCE, io.StringIO())
        listener = caller_connections.Listener(server.handle)
        self.portal.start_task_soon(listener.serve, '127.0.0.1', port)
        entry = platform_documents.make_server_entry(
            'desk', port, self.domains[0], 'ready'
        )
        key = servers.PREFIX + processes.INSTANCE
        self.put(key, json.dumps(entry).encode())


@pytest.fixture
def gateway(tmp_path, monkeypatch):
    """A running gateway on a host with little memory."""
    monkeypatch.setattr(processes, 'Rig', Rig)
    monkeypatch.setattr(processes, 'Gateway', SmallGateway)
    with processes.open_rig(tmp_path) as rig:
        rig.start_all()
        yield rig.gateways[0]


def check_crowd(gateway, counts, **options):
    """Fails unless the gateway withstands a crowd and serves on.

    Args:
        gateway: Running gateway.
        counts: Number of callers in the crowd by form.
        **options: Further arguments of the crowd.
    """
    with contextlib.closing(Crowd(gateway, counts, **options)) as crowd:
        crowd.run()
        assert gateway.is_running(), gateway
        gateway.wait_until(gateway.serves, ANSWER_SECONDS)
        peak = max(crowd.max_memory, read_peak_memory(gateway))
        descriptors = max(crowd.max_descriptors, count_descriptors(gateway))
    print(f'{counts}: {peak:.1f} MB, {descriptors} descriptors')
    assert gateway.is_running(), gateway
    assert peak <= MEMORY_MB
    assert descriptors <= MAX_DESCRIPTORS
    gateway.wait_until(lambda: request_calmly(gateway), ANSWER_SECONDS)


class TestBodies:
    """Many bodies of legal size at once."""

    def test_whole(self, gateway):
        check_crowd(gateway, {'whole': 80})

    def test_large_short_of_the_end(self, gateway):
        check_crowd(gateway, {'large_short': 80})

    def test_medium_short_of_the_end(self, gateway):
        check_crowd(gateway, {'short': 900})

    def test_pieces_short_of_the_end(self, gateway):
        check_crowd(gateway, {'pieces': 500})

    def test_heads_short_of_the_end(self, gateway):
        check_crowd(gateway, {'heads': 900})


class TestRequestsAhead:
    """Many requests ahead on few connections, their responses unread."""

    def test_medium(self, gateway):
        check_crowd(gateway, {'ahead': 300})

    def test_unread_responses(self, gateway):
        check_crowd(gateway, {'unread': 60})


class TestMixedCrowds:
    """All forms at once."""

    COUNTS = {
        'whole': 20,
        'large_short': 20,
        'short': 150,
        'pieces': 150,
        'heads': 150,
        'ahead': 60,
        'unread': 20,
    }

    def test_one_address(self, gateway):
        check_crowd(gateway, self.COUNTS)

    def test_many_addresses(self, gateway):
        check_crowd(gateway, self.COUNTS, sources=100)

    def test_crowd_that_comes_back(self, gateway):
        check_crowd(gateway, self.COUNTS, returns=3)


class TestDescriptors:
    """More connections than the host has descriptors for."""

    def test_idle_connections(self, gateway):
        check_crowd(gateway, {'idle': 900})


class TestCalm:
    """A single request inside the limits."""

    def test_largest_body(self, gateway):
        assert request_calmly(gateway)
        peak = read_peak_memory(gateway)
        print(f'one request: {peak:.1f} MB')
        assert peak <= MEMORY_MB
