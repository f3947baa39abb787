"""Hashing that gives the same ranking and shares at every process."""

from collections.abc import Iterable

import xxhash


def score(key: str, host: str) -> int:
    """Returns the 64-bit score of a host for a key."""
    return xxhash.xxh64_intdigest(f'{key}|{host}'.encode())


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Returns hosts in rendezvous order for a key, the first one first."""
    return sorted(hosts, key=lambda host: score(key, host), reverse=True)


def hash_share(name: str, key: str) -> float:
    """Returns the place of a key in what a name divides, 0 up to 1."""
    return xxhash.xxh3_64_intdigest(f'{name}/{key}'.encode()) / 2**64
