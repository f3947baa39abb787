"""Prompt-prefix cache of the fake model engine."""

import collections
import dataclasses
import time

import xxhash

CHARACTERS_PER_TOKEN = 4


def count_tokens(text: str) -> int:
    """Returns the number of tokens of a text, at least one."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


@dataclasses.dataclass(slots=True)
class CacheEvent:
    """Event for a block that was stored in or removed from the cache.

    Attributes:
        number: Sequence number.
        kind: ``stored`` or ``removed``.
        block: Hash of the block.
        visible_at: Monotonic time from which the event is reported.
    """

    number: int
    kind: str
    block: str
    visible_at: float


class PrefixCache:
    """LRU cache of prompt prefixes in blocks.

    The key of a block is the hash of the prompt up to its end, so a block
    is only usable together with all blocks before it.

    Args:
        capacity_blocks: Maximum number of blocks.
        block_tokens: Size of a block in tokens.
        event_lag: Delay of the report of an event in seconds.
        event_gap_share: Share of events that are never reported.
        max_events: Maximum number of events kept for reports.
    """

    def __init__(
        self,
        capacity_blocks: int = 4096,
        block_tokens: int = 16,
        event_lag: float = 0.0,
        event_gap_share: float = 0.0,
        max_events: int = 5000,
    ):
        self._capacity = capacity_blocks
        self._block_tokens = block_tokens
        self._event_lag = event_lag
        self._event_gap_share = event_gap_share
        self._accumulated_gap_share = 0.0
        self._last_number = 0
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=max_events
        )

    @property
    def tokens(self) -> int:
        """Number of tokens in the cache."""
        return len(self._blocks) * self._block_tokens

    def _hash_blocks(self, prompt: str) -> list[str]:
        size = self._block_tokens * CHARACTERS_PER_TOKEN
        digest = xxhash.xxh64()
        hashes = []
        for start in range(0, len(prompt) - size + 1, size):
            digest.update(prompt[start : start + size].encode())
            hashes.append(digest.hexdigest())
        return hashes

    def insert(self, prompt: str) -> int:
        """Stores a prompt.

        Args:
            prompt: Text of the prompt.

        Returns:
            Length in tokens of the prefix that was already cached.
        """
        hashes = self._hash_blocks(prompt)
        cached_blocks = 0
        while (
            cached_blocks < len(hashes)
            and hashes[cached_blocks] in self._blocks
        ):
            cached_blocks += 1
        # Most recently used is the first block, so that it is evicted after
        # the others, which are unusable without it.
        for block in reversed(hashes):
            if block in self._blocks:
                self._blocks.move_to_end(block)
            else:
                self._blocks[block] = None
                self._record_event('stored', block)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._record_event('removed', block)
        return cached_blocks * self._block_tokens

    def clear(self) -> None:
        """Removes all blocks."""
        for block in self._blocks:
            self._record_event('removed', block)
        self._blocks.clear()

    def _record_event(self, kind: str, block: str) -> None:
        self._last_number += 1
        self._accumulated_gap_share += self._event_gap_share
        if self._accumulated_gap_share >= 1:
            self._accumulated_gap_share -= 1
            return
        self._events.append(
            CacheEvent(
                self._last_number,
                kind,
                block,
                time.monotonic() + self._event_lag,
            )
        )

    def list_events(self, since: int) -> list[dict]:
        """Returns the visible events with a number above ``since``."""
        now = time.monotonic()
        return [
            {'number': e.number, 'kind': e.kind, 'block': e.block}
            for e in self._events
            if e.number > since and e.visible_at <= now
        ]
