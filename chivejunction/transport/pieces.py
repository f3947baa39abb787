"""Bounds on the pieces in which a peer sends its data.

A block of received bytes may hold thousands of chunks. Taking one after the
other needs no wait, so that no other task runs and no timeout takes effect
meanwhile, and a bound on bytes allows very many of them.
"""

from anyio import lowlevel

from chivejunction import errors
from chivejunction import metrics

# Pieces, and bytes to parse, that are taken before other tasks get a turn.
PIECES_PER_TURN = 64
BYTES_PER_TURN = 8192
# Pieces that a peer may send without progress: without a complete event of a
# stream, and in this many bytes of other data.
MAX_PIECES = 16_384
PROGRESS_BYTES = 256 * 1024
EXCEEDED = metrics.make_counter(
    'piece_limits_exceeded', 'Messages in too many pieces.'
)


class PieceCounter:
    """Counts the pieces of a message."""

    def __init__(self):
        self._count = 0
        self._bytes = 0

    def reset(self) -> None:
        """Starts from zero, for another message or after progress."""
        self._count = self._bytes = 0

    def add(self, size: int) -> bool:
        """Counts a piece.

        Args:
            size: Bytes of the piece.

        Returns:
            Whether other tasks are due a turn.

        Raises:
            ProtocolError: There are too many.
        """
        self._count += 1
        self._bytes += size
        if self._count > MAX_PIECES:
            EXCEEDED.inc()
            raise errors.ProtocolError(f'over {MAX_PIECES} pieces')
        is_turn_due = self._count % PIECES_PER_TURN == 0
        if self._bytes >= PROGRESS_BYTES:
            self.reset()
        return is_turn_due

    async def take(self, size: int) -> None:
        """Counts a piece and gives other tasks a turn if it is due.

        Args:
            size: Bytes of the piece.

        Raises:
            ProtocolError: There are too many.
        """
        if self.add(size):
            await lowlevel.checkpoint()
