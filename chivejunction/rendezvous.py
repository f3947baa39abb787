"""Rendezvous hashing, with the same results in every process."""

from collections.abc import Iterable

import xxhash


def score(key: str, host: str) -> int:
    """Returns the 64-bit rendezvous score of a host for a key."""
    return xxhash.xxh64_intdigest(f'{key}|{host}'.encode())


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Returns hosts ordered by their score for a key, highest first."""
    return sorted(hosts, key=lambda host: score(key, host), reverse=True)


def hash_key(name: str, key: str) -> int:
    """Returns the 64-bit hash of a key.

    Args:
        name: Name of the traffic split, so that splits are independent.
        key: Key of the session or request.
    """
    return xxhash.xxh3_64_intdigest(f'{name}/{key}'.encode())


def to_fraction(key_hash: int) -> float:
    """Returns a 64-bit hash as a fraction between 0 and 1.

    A key belongs to a share of the traffic if the fraction is below the share.
    """
    return key_hash / 2**64


def hash_to_fraction(name: str, key: str) -> float:
    """Returns the hash of a key as a fraction between 0 and 1.

    Args:
        name: Name of the traffic split, so that splits are independent.
        key: Key of the session or request.
    """
    return to_fraction(hash_key(name, key))
