"""Deltas between two revisions of the configuration document."""

import json
from typing import Annotated
import zlib

import pydantic
import xxhash

from chivejunction import errors
from chivejunction.protocol import resources

DIGEST_MASK = (1 << 64) - 1

Revision = Annotated[int, pydantic.Field(ge=0, lt=2**63)]


class Delta(pydantic.BaseModel):
    """Resources that changed between two revisions, see ``make_delta``."""

    base: Revision
    revision: Revision
    changed: dict[str, tuple[Revision, dict | None]]
    changes: list[str]
    forgotten: Revision


class Digester:
    """Computes digests of documents, caching the hash of each resource.

    The digest is the sum of the resource hashes modulo 2**64, so it does not
    depend on their order. A hash covers the resource and the revision of its
    last change. A resource that has not changed since the previous document
    is not hashed again.
    """

    def __init__(self):
        # Key -> (revision, resource, hash) of the previous document.
        self._cache: dict[str, tuple[int, dict | None, int]] = {}

    def compute(self, document: resources.Document) -> int:
        """Returns the 64-bit digest of a document."""
        cache = {}
        for key, revision in document.changed.items():
            kind, name = key.split('/', 1)
            value = document.resources.get(kind, {}).get(name)
            entry = self._cache.get(key)
            # Comparing revisions is not enough: a change that lost the race
            # for a revision has different content from the one that won.
            if entry is None or entry[0] != revision or entry[1] != value:
                text = json.dumps([key, revision, value], sort_keys=True)
                entry = (
                    revision,
                    value,
                    xxhash.xxh3_64_intdigest(text.encode()),
                )
            cache[key] = entry
        self._cache = cache
        return sum(entry[2] for entry in cache.values()) & DIGEST_MASK


def make_delta(
    document: resources.Document, base: int, digest: int
) -> dict | None:
    """Returns the resources that changed since a revision.

    Args:
        document: The newer document.
        base: Revision of the older document.
        digest: Digest of the newer document.

    Returns:
        The delta, or None if the older revision is too old for one or if more
        than half of the resources have changed.
    """
    lag = document.revision - base
    if base < max(1, document.forgotten) or lag > len(document.changes):
        return None
    changed = {}
    for key, revision in document.changed.items():
        if revision > base:
            kind, name = key.split('/', 1)
            changed[key] = [
                revision,
                document.resources.get(kind, {}).get(name),
            ]
    if 2 * len(changed) > len(document.changed):
        return None
    return {
        'base': base,
        'revision': document.revision,
        'changed': changed,
        'changes': document.changes[-lag:] if lag else [],
        'forgotten': document.forgotten,
        'digest': digest,
    }


def apply_delta(
    document: resources.Document, delta: dict
) -> resources.Document:
    """Returns the newer document without modifying the older one.

    Raises:
        ProtocolError: The delta is malformed or starts at another revision
            than that of the document.
    """
    try:
        parsed = Delta.model_validate(delta)
        if parsed.base != document.revision:
            raise errors.ProtocolError(
                f'delta starts at revision {parsed.base}, '
                f'not {document.revision}'
            )
        updated = {k: dict(v) for k, v in document.resources.items()}
        changed = dict(document.changed)
        for key, (revision, value) in parsed.changed.items():
            kind, name = key.split('/', 1)
            changed[key] = revision
            if value is None:
                updated.get(kind, {}).pop(name, None)
            else:
                updated.setdefault(kind, {})[name] = value
    except ValueError as exc:
        raise errors.ProtocolError(f'malformed delta: {exc!r}') from exc
    changes = [*document.changes, *parsed.changes]
    newer = resources.Document.model_construct(
        revision=parsed.revision,
        resources=updated,
        changed=changed,
        changes=changes[-resources.MAX_CHANGE_IDS :],
        forgotten=parsed.forgotten,
    )
    for key, revision in list(changed.items()):
        kind, name = key.split('/', 1)
        if revision <= newer.forgotten and name not in updated.get(kind, {}):
            del changed[key]
    return newer


def compress_json(value: dict) -> bytes:
    """Returns a value as zlib-compressed JSON."""
    return zlib.compress(json.dumps(value, separators=(',', ':')).encode(), 6)


def decompress_json(data: bytes) -> dict:
    """Returns the value decoded from zlib-compressed JSON.

    Raises:
        ProtocolError: The data is no compressed JSON object, or the text is
            longer than 4 * MAX_DOCUMENT_BYTES.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, 4 * resources.MAX_DOCUMENT_BYTES)
        if decompressor.unconsumed_tail:
            raise errors.ProtocolError('compressed value is too large')
        value = json.loads(text)
    except (zlib.error, *errors.MALFORMED_DOCUMENT_ERRORS) as exc:
        raise errors.ProtocolError(f'malformed value: {exc}') from exc
    if not isinstance(value, dict):
        raise errors.ProtocolError('compressed value is no JSON object')
    return value
