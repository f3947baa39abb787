"""Index of the prompt prefixes that backend servers probably have cached."""

import collections

import xxhash

from chivejunction.protocol import forwarding

# Share of a server's cache that prefixes may occupy. Running requests need the
# rest.
MAX_CACHE_SHARE = 0.7
# Callers may name parts of no tokens, which would take no share of a cache.
MAX_PARTS_PER_SERVER = 16_384


def list_prefixes(
    prompt: tuple[forwarding.PromptPart, ...], model: str
) -> list[tuple[int, int]]:
    """Returns the keys and lengths of a prompt's cacheable prefixes.

    A prefix ends with any part of the prompt except the last one, which other
    requests do not share.

    Args:
        prompt: Parts of the prompt.
        model: Model that processes it; empty for a plain service.

    Returns:
        A tuple for each prefix, shortest first: its key, which is a 64-bit
        hash of the model and the parts of the prefix, and its length in
        tokens.
    """
    tokens, prefixes = 0, []
    key = xxhash.xxh3_64_intdigest(model.encode())
    for part in prompt[:-1]:
        key = xxhash.xxh3_64_intdigest(part.id.encode(), seed=key)
        tokens += part.tokens
        prefixes.append((key, tokens))
    return prefixes


class PrefixCacheIndex:
    """Cached prompt prefixes by server, with LRU eviction."""

    def __init__(self):
        self._part_tokens: dict[str, collections.OrderedDict[int, int]] = {}
        self._used_tokens: dict[str, int] = {}

    def add(
        self, instance: str, prefixes: list[tuple[int, int]], memory: int
    ) -> None:
        """Adds the prefixes of a prompt that a server processes.

        Evicts the least recently used prefixes that exceed the cache or the
        number of parts.

        Args:
            instance: Instance id of the server.
            prefixes: Prefixes as returned by ``list_prefixes``.
            memory: Size of the server's cache in tokens.
        """
        part_tokens = self._part_tokens.setdefault(
            instance, collections.OrderedDict()
        )
        used_tokens = self._used_tokens.get(instance, 0)
        previous_end = 0
        for key, end in prefixes:
            if key not in part_tokens:
                part_tokens[key] = end - previous_end
                used_tokens += end - previous_end
            part_tokens.move_to_end(key)
            previous_end = end
        while part_tokens and (
            used_tokens > MAX_CACHE_SHARE * memory
            or len(part_tokens) > MAX_PARTS_PER_SERVER
        ):
            used_tokens -= part_tokens.popitem(last=False)[1]
        self._used_tokens[instance] = used_tokens

    def count_cached_tokens(
        self, instance: str, prefixes: list[tuple[int, int]]
    ) -> int:
        """Returns the length of the longest cached prefix in tokens.

        Args:
            instance: Instance id of the server.
            prefixes: Prefixes as returned by ``list_prefixes``.
        """
        part_tokens = self._part_tokens.get(instance)
        if not part_tokens:
            return 0
        cached_tokens = 0
        for key, end in prefixes:
            if key not in part_tokens:
                break
            cached_tokens = end
        return cached_tokens

    def remove_server(self, instance: str) -> None:
        """Removes all prefixes of a server."""
        self._part_tokens.pop(instance, None)
        self._used_tokens.pop(instance, None)
