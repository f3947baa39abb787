"""Differences between two revisions of the configuration document."""

import json
import zlib

import xxhash

from chivejunction import errors
from chivejunction.protocol import resources

DIGEST_MASK = (1 << 64) - 1


class Digester:
    """Computes digests of documents, reusing hashes of old resources.

    The digest covers the resources and the revisions of their last change,
    in any order. A resource with the same revision is not hashed again.
    """

    def __init__(self):
        self._hashes: dict[str, tuple[int, dict | None, int]] = {}

    def compute(self, document: resources.Document) -> int:
        """Returns the 64-bit digest of a document."""
        hashes = {}
        for key, revision in document.changed.items():
            kind, name = key.split('/', 1)
            value = document.resources.get(kind, {}).get(name)
            old = self._hashes.get(key)
            # The revision alone does not tell: a change that lost the race
            # for a revision has other content than the one that won.
            if old is None or old[0] != revision or old[1] != value:
                text = json.dumps([key, revision, value], sort_keys=True)
                old = (
                    revision,
                    value,
                    xxhash.xxh3_64_intdigest(text.encode()),
                )
            hashes[key] = old
        self._hashes = hashes
        return sum(entry[2] for entry in hashes.values()) & DIGEST_MASK


def make_delta(
    document: resources.Document, base: int, digest: int
) -> dict | None:
    """Returns what changed since a revision.

    Args:
        document: The newer document.
        base: Revision of the older document.
        digest: Digest of the newer document.

    Returns:
        None when the older revision is too far behind for a delta.
    """
    steps = document.revision - base
    if base < max(1, document.forgotten) or steps > len(document.changes):
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
        'changes': document.changes[-steps:] if steps else [],
        'forgotten': document.forgotten,
        'digest': digest,
    }


def apply_delta(
    document: resources.Document, delta: dict
) -> resources.Document:
    """Returns the newer document; the older one is left as it is.

    Raises:
        ProtocolError: The delta does not start at this document.
    """
    try:
        if delta['base'] != document.revision:
            raise errors.ProtocolError(
                f'delta starts at revision {delta["base"]}, '
                f'not {document.revision}'
            )
        found = {k: dict(v) for k, v in document.resources.items()}
        changed = dict(document.changed)
        for key, (revision, value) in delta['changed'].items():
            kind, name = key.split('/', 1)
            changed[key] = revision
            if value is None:
                found.get(kind, {}).pop(name, None)
            else:
                found.setdefault(kind, {})[name] = value
        changes = [*document.changes, *delta['changes']]
        newer = resources.Document.model_construct(
            revision=delta['revision'],
            resources=found,
            changed=changed,
            changes=changes[-resources.MAX_CHANGE_IDS :],
            forgotten=delta['forgotten'],
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise errors.ProtocolError(f'malformed delta: {exc!r}') from exc
    for key, revision in list(changed.items()):
        kind, name = key.split('/', 1)
        if revision <= newer.forgotten and name not in found.get(kind, {}):
            del changed[key]
    return newer


def pack_json(value: dict) -> bytes:
    """Returns a value as compressed JSON."""
    return zlib.compress(json.dumps(value, separators=(',', ':')).encode(), 6)


def unpack_json(data: bytes) -> dict:
    """Returns the value of compressed JSON.

    Raises:
        ProtocolError: The data is not compressed JSON, or is too large.
    """
    try:
        inflater = zlib.decompressobj()
        text = inflater.decompress(data, 4 * resources.MAX_DOCUMENT_BYTES)
        if inflater.unconsumed_tail:
            raise errors.ProtocolError('compressed value is too large')
        return json.loads(text)
    except (zlib.error, ValueError) as exc:
        raise errors.ProtocolError(f'malformed value: {exc}') from exc
