"""Shared prompt parts that backend servers are thought to hold."""

import collections

import xxhash

from chivejunction.protocol import forwarding

# Part of a server's memory that prompts may fill; running requests need the
# rest.
MEMORY_SHARE = 0.7


def list_prefixes(
    prompt: tuple[forwarding.PromptPart, ...], model: str
) -> list[tuple[int, int]]:
    """Returns the keys of a prompt's shared beginnings, shortest first.

    Returns:
        Rows of the key, a 64-bit hash of the model and all parts up to its
        end, and the tokens up to there.
    """
    tokens, found = 0, []
    key = xxhash.xxh3_64_intdigest(model.encode())
    for part in prompt[:-1]:
        key = xxhash.xxh3_64_intdigest(part.id.encode(), seed=key)
        tokens += part.tokens
        found.append((key, tokens))
    return found


class PromptHoldings:
    """Prompt beginnings by server; the least recently used ones yield."""

    def __init__(self):
        self._held: dict[str, collections.OrderedDict[int, int]] = {}
        self._used: dict[str, int] = {}

    def add(
        self, instance: str, prefixes: list[tuple[int, int]], memory: int
    ) -> None:
        """Notes that a server has read a prompt's beginnings.

        Args:
            instance: The server.
            prefixes: Rows of ``list_prefixes``.
            memory: The server's memory in tokens.
        """
        held = self._held.setdefault(instance, collections.OrderedDict())
        used = self._used.get(instance, 0)
        before = 0
        for key, end in prefixes:
            if key not in held:
                held[key] = end - before
                used += end - before
            held.move_to_end(key)
            before = end
        while held and used > MEMORY_SHARE * memory:
            used -= held.popitem(last=False)[1]
        self._used[instance] = used

    def count_held(
        self, instance: str, prefixes: list[tuple[int, int]]
    ) -> int:
        """Returns how many tokens of a prompt's beginning a server holds."""
        held = self._held.get(instance)
        if not held:
            return 0
        found = 0
        for key, end in prefixes:
            if key not in held:
                break
            found = end
        return found

    def forget(self, instance: str) -> None:
        """Forgets a server that is gone."""
        self._held.pop(instance, None)
        self._used.pop(instance, None)
