"""Shared prompt parts that backend servers are thought to hold."""

import collections

from chivejunction.protocol import forwarding

# Part of a server's memory that prompts may fill; running requests need the
# rest.
MEMORY_SHARE = 0.7


def list_prefixes(
    prompt: tuple[forwarding.PromptPart, ...], model: str
) -> list[tuple[str, int]]:
    """Returns the keys of a prompt's shared beginnings, shortest first.

    Returns:
        Rows of the key and the tokens up to its end.
    """
    key, tokens, found = model, 0, []
    for part in prompt[:-1]:
        key = f'{key}/{part.id}'
        tokens += part.tokens
        found.append((key, tokens))
    return found


class PromptHoldings:
    """Prompt beginnings by server; the least recently used ones yield."""

    def __init__(self):
        self._held: dict[str, collections.OrderedDict[str, int]] = {}
        self._used: dict[str, int] = {}

    def add(
        self, instance: str, prefixes: list[tuple[str, int]], memory: int
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
        self, instance: str, prefixes: list[tuple[str, int]]
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
