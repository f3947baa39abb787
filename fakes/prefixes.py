"""Prompt-prefix cache of a model engine."""

import collections
import dataclasses
import time

import xxhash

# Characters that stand for one token in the fakes.
TOKEN_CHARACTERS = 4


def count_tokens(text: str) -> int:
    """Returns the tokens of a text, at least one."""
    return max(1, len(text) // TOKEN_CHARACTERS)


@dataclasses.dataclass(slots=True)
class CacheEvent:
    """A block was stored in or removed from the cache.

    ``visible_at`` is the monotonic time from which it is reported.
    """

    number: int
    kind: str
    block: str
    visible_at: float


class PrefixCache:
    """Cache of prompt prefixes in blocks, the least recently used go first.

    A block is known by the hash of the prompt up to its end, so a block is
    of use only together with all blocks before it.

    Args:
        capacity_blocks: Blocks that fit into memory.
        block_tokens: Tokens of a block.
        event_lag: Seconds after which a cache event is reported.
        event_gap_share: Share of events that are never reported.
        kept_events: Events that are kept for reports.
    """

    def __init__(
        self,
        capacity_blocks: int = 4096,
        block_tokens: int = 16,
        event_lag: float = 0.0,
        event_gap_share: float = 0.0,
        kept_events: int = 5000,
    ):
        self._capacity = capacity_blocks
        self._block_tokens = block_tokens
        self._event_lag = event_lag
        self._event_gap_share = event_gap_share
        self._gap_sum = 0.0
        self._number = 0
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=kept_events
        )

    @property
    def tokens(self) -> int:
        """Tokens in the cache."""
        return len(self._blocks) * self._block_tokens

    def _hash_blocks(self, prompt: str) -> list[str]:
        size = self._block_tokens * TOKEN_CHARACTERS
        state = xxhash.xxh64()
        hashes = []
        for start in range(0, len(prompt) - size + 1, size):
            state.update(prompt[start : start + size].encode())
            hashes.append(state.hexdigest())
        return hashes

    def use(self, prompt: str) -> int:
        """Stores a prompt and returns its tokens that were cached before."""
        hashes = self._hash_blocks(prompt)
        found = 0
        while found < len(hashes) and hashes[found] in self._blocks:
            found += 1
        # The first block is touched last: without it the others are useless.
        for block in reversed(hashes):
            if block in self._blocks:
                self._blocks.move_to_end(block)
            else:
                self._blocks[block] = None
                self._report('stored', block)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._report('removed', block)
        return found * self._block_tokens

    def clear(self) -> None:
        """Forgets all blocks."""
        for block in self._blocks:
            self._report('removed', block)
        self._blocks.clear()

    def _report(self, kind: str, block: str) -> None:
        self._number += 1
        self._gap_sum += self._event_gap_share
        if self._gap_sum >= 1:
            self._gap_sum -= 1
            return
        self._events.append(
            CacheEvent(
                self._number, kind, block, time.monotonic() + self._event_lag
            )
        )

    def events(self, since: int) -> list[dict]:
        """Returns the visible events with a number above ``since``."""
        now = time.monotonic()
        return [
            {'number': e.number, 'kind': e.kind, 'block': e.block}
            for e in self._events
            if e.number > since and e.visible_at <= now
        ]
