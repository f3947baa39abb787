"""TCP ports on loopback that no other run on this host uses."""

import fcntl
import pathlib
import socket
import tempfile

# Below the range of ports that the kernel assigns to outgoing connections: a
# port of that range could be assigned between its choice and its use.
FIRST_PORT = 10_000
BLOCK_PORTS = 100
BLOCK_COUNT = 220
LOCK_FOLDER = pathlib.Path(tempfile.gettempdir()) / 'chivejunction-ports'


class PortAllocator:
    """Allocates ports from blocks that are locked for this process.

    The kernel releases the lock of a block when the process ends, even if it
    is killed.
    """

    def __init__(self):
        self._locks = []
        self._ports: list[int] = []

    def _lock_block(self) -> None:
        LOCK_FOLDER.mkdir(exist_ok=True)
        for number in range(BLOCK_COUNT):
            lock = (LOCK_FOLDER / f'block-{number}').open('w')
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._locks.append(lock)
            first = FIRST_PORT + number * BLOCK_PORTS
            self._ports = list(range(first, first + BLOCK_PORTS))
            return
        raise RuntimeError(f'all {BLOCK_COUNT} port blocks are in use')

    def find_port(self) -> int:
        """Returns a port that could be bound at the time of the call."""
        while True:
            if not self._ports:
                self._lock_block()
            port = self._ports.pop(0)
            if is_free(port):
                return port


def is_free(port: int) -> bool:
    """Returns whether a port on loopback can be bound."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
        return True


ALLOCATOR = PortAllocator()
