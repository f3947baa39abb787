"""Reads the configuration document in the store and changes it.

Changes are made by compare-and-swap on the store revision of the document.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import copy
import dataclasses
import json
from typing import Literal
import uuid
import zlib

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import deltas
from chivejunction.protocol import references
from chivejunction.protocol import resources
from chivejunction.protocol import verdicts
from chivejunction.state import views
from chivejunction.transport import stores

CONFIG_KEY = 'chivejunction/config'
# Revision, digest and latest delta of the document, written in the same
# transaction. Watching this small key avoids transferring the document, up to
# 1 MB, for each change.
HEAD_KEY = 'chivejunction/config-head'
MAX_HEAD_DELTA_BYTES = 64_000
# Covers the retries of a change and the reads that determine the outcome of
# a write without a response.
CHANGE_TIMEOUT_SECONDS = 8.0
INITIAL_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One resource to put or delete.

    Attributes:
        action: ``put`` or ``delete``.
        kind: Kind of the resource.
        name: Name of the resource.
        value: The resource; empty for a deletion or with ``update``.
        expected: Revision that the resource's last change must have; 0 if
            the resource must not exist, None to skip the check.
        update: Returns the changed fields for a copy of the current
            resource; replaces ``value``.
    """

    action: Literal['put', 'delete']
    kind: str
    name: str
    value: dict = dataclasses.field(default_factory=dict)
    expected: int | None = None
    update: Callable[[dict], dict] | None = None


class StateConflict(errors.RefusalError):
    """A change conflicts with the current state of the configuration.

    Args:
        code: Refusal code.
        detail: Explanation.
        current: Current state, returned to the operator.
    """

    def __init__(self, code: str, detail: str, current: dict):
        super().__init__(code, detail)
        self.current = current


def describe_resource(
    document: resources.Document, kind: str, name: str
) -> dict:
    """Returns a resource with the revision of its last change.

    ``resource`` is None and ``changed_at`` is 0 if the resource does not
    exist. ``revision`` is the revision of the document.
    """
    return {
        'kind': kind,
        'name': name,
        'resource': document.resources.get(kind, {}).get(name),
        'changed_at': document.get_resource_revision(kind, name),
        'revision': document.revision,
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Summary of the document, stored under ``HEAD_KEY``.

    Attributes:
        revision: Revision of the document.
        digest: Digest of the document.
        delta: Changes since the previous revision; None if they are too
            large for the head.
        store_revision: Modification revision in the store. Document and
            head have the same one, since one transaction writes both.
    """

    revision: int
    digest: int
    delta: dict | None
    store_revision: int


def parse_head(entry: stores.Entry) -> Head:
    """Returns the head that a store entry holds.

    Raises:
        ProtocolError: The value of the entry is malformed.
    """
    try:
        value = json.loads(entry.value)
        revision, digest = value['revision'], value['digest']
        delta = value.get('delta')
    except errors.MALFORMED_DOCUMENT_ERRORS as exc:
        raise errors.ProtocolError(
            f'malformed configuration head: {exc!r}'
        ) from exc
    is_valid = (
        isinstance(revision, int)
        and revision >= 0
        and isinstance(digest, int)
        and isinstance(delta, dict | None)
    )
    if not is_valid:
        raise errors.ProtocolError('malformed configuration head')
    return Head(revision, digest, delta, entry.revision)


def encode_stored_document(document: resources.Document) -> bytes:
    """Returns the compressed JSON under which a document is stored."""
    return zlib.compress(resources.dump_document(document))


def decode_stored_document(data: bytes) -> resources.Document:
    """Returns the document of a stored value.

    Args:
        data: Compressed JSON, or plain JSON as earlier releases stored it.

    Raises:
        ProtocolError: The value is malformed or exceeds
            ``MAX_DOCUMENT_BYTES``.
    """
    if data.startswith(b'{'):
        return resources.parse_document(data)
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, resources.MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise errors.ProtocolError(
            f'malformed configuration document: {exc}'
        ) from exc
    if inflater.unconsumed_tail:
        raise errors.ProtocolError(
            'decompressed configuration document is too large'
        )
    return resources.parse_document(text)


class ConfigStore:
    """Reads and changes the configuration document in the store.

    Args:
        store: Client of the store.
        view: Configuration of this process. If its revision and digest match
            the stored head, changes are based on it, which saves reading the
            whole document.
    """

    def __init__(
        self,
        store: stores.Store,
        view: views.ConfigView | None = None,
    ):
        self._store = store
        self._view = view
        self._digester = deltas.Digester()

    async def read_head(self, is_local: bool = False) -> Head | None:
        """Returns the head, or None before the first change.

        Args:
            is_local: Whether a single store member may respond without a
                quorum, with a value that may be out of date.

        Raises:
            StoreError: The store cannot be read.
            ProtocolError: The stored value is malformed.
        """
        entry = await self._store.get(HEAD_KEY, is_local)
        return None if entry is None else parse_head(entry)

    async def watch_heads(self, start_revision: int, timeout_seconds: float):
        """Yields each head that is written to the store.

        Args:
            start_revision: First store revision to report.
            timeout_seconds: Time without a response from the store after
                which the watch times out.

        Raises:
            StoreError: The watch ended or timed out.
            ProtocolError: A stored value is malformed.
        """
        async with contextlib.aclosing(
            self._store.watch(HEAD_KEY, start_revision, timeout_seconds)
        ) as entries:
            async for entry in entries:
                yield parse_head(entry)

    async def _read_current(self) -> tuple[resources.Document, int]:
        """Returns the document to change and its store revision."""
        head = await self.read_head()
        view = self._view
        if (
            view is not None
            and head is not None
            and (head.revision, head.digest) == (view.revision, view.digest)
        ):
            return view.document, head.store_revision
        return await self.read()

    async def read(self) -> tuple[resources.Document, int]:
        """Returns the document and its modification revision in the store.

        Returns:
            The document; an empty one and 0 before the first change.

        Raises:
            StoreError: The store cannot be read.
            ProtocolError: The stored value is malformed.
        """
        entry = await self._store.get(CONFIG_KEY)
        if entry is None:
            return resources.Document(), 0
        return decode_stored_document(entry.value), entry.revision

    async def put(
        self, kind: str, value: dict, expected: int | None = None
    ) -> resources.Document:
        """Creates or replaces a resource; raises the errors of apply."""
        name = resources.parse_resource(kind, value).name
        return await self.apply([Change('put', kind, name, value, expected)])

    async def delete(
        self, kind: str, name: str, expected: int | None = None
    ) -> resources.Document:
        """Deletes a resource; raises the errors of apply."""
        return await self.apply([Change('delete', kind, name, {}, expected)])

    async def apply(
        self,
        changes: Iterable[Change],
        expected: int | None = None,
        change_id: str = '',
    ) -> resources.Document:
        """Makes changes atomically, as one revision of the document.

        Args:
            changes: Changes, made in order.
            expected: Revision that the document must have, None to skip the
                check.
            change_id: Unique id of the request. A repeated request with the
                same id makes the changes only once. Generated if empty.

        Returns:
            A document that contains the changes.

        Raises:
            RefusalError: A change is invalid, or the revision of its
                resource or of the document is not the expected one; nothing
                was changed. With ``result_unknown`` and MAY_HAVE_RUN, a
                write was sent and its outcome could not be determined within
                the timeout.
            StoreError: The store is unavailable, or concurrent changes won
                until the timeout; nothing was changed.
        """
        changes = list(changes)
        change_id = change_id or uuid.uuid4().hex
        deadline = clock.make_deadline(CHANGE_TIMEOUT_SECONDS)
        # Whether a write was sent whose response was lost. A later read that
        # contains the change id shows that the write took effect.
        is_pending = False
        delay = INITIAL_RETRY_DELAY_SECONDS
        while True:
            try:
                document, store_revision = await self._read_current()
                if change_id in document.changes:
                    return document
                updated = apply_changes(document, changes, expected, change_id)
                # A pending write expects this store revision or an older
                # one, so at most one of the two writes can take effect.
                await self._store.swap(
                    CONFIG_KEY,
                    encode_stored_document(updated),
                    store_revision,
                    extra_entries={HEAD_KEY: self._make_head(updated)},
                )
                return updated
            except errors.StoreConflict:
                # Another change was written first. The next read shows
                # whether a pending write took effect.
                pass
            except errors.StoreResultUnknown:
                is_pending = True
            except errors.StoreError:
                if not is_pending:
                    raise
            if clock.has_passed(deadline):
                raise self._make_timeout_error(is_pending, change_id)
            await anyio.sleep(clock.jitter(delay))
            delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)

    def _make_head(self, document: resources.Document) -> bytes:
        digest = self._digester.compute(document)
        head = {'revision': document.revision, 'digest': digest}
        delta = deltas.make_delta(document, document.revision - 1, digest)
        data = json.dumps({**head, 'delta': delta}).encode()
        if delta is None or len(data) > MAX_HEAD_DELTA_BYTES:
            return json.dumps(head).encode()
        return data

    @staticmethod
    def _make_timeout_error(is_pending: bool, change_id: str) -> errors.Error:
        if not is_pending:
            return errors.StoreError(
                f'other changes came first for {CHANGE_TIMEOUT_SECONDS} s'
            )
        return errors.RefusalError(
            'result_unknown',
            f'the store has not told whether change {change_id} was made; '
            'repeat the request with this Change-Id',
            verdicts.Verdict.MAY_HAVE_RUN,
        )


def apply_changes(
    document: resources.Document,
    changes: list[Change],
    expected: int | None,
    change_id: str,
) -> resources.Document:
    """Returns the next revision of a document.

    Args:
        document: Current document; it is not modified.
        changes: Changes, made in order.
        expected: Revision that the document must have, None to skip the
            check.
        change_id: Id of the request, recorded in the document.

    Raises:
        RefusalError: A change is invalid or conflicts with the current
            state, or the document would become too large.
    """
    if expected is not None and document.revision != expected:
        raise StateConflict(
            'conflict',
            f'the configuration is at revision {document.revision}',
            {'revision': document.revision},
        )
    updated = document.model_copy(
        update={
            'revision': document.revision + 1,
            'resources': {k: dict(v) for k, v in document.resources.items()},
            'changed': dict(document.changed),
            'changes': [
                *document.changes[-resources.MAX_CHANGE_IDS + 1 :],
                change_id,
            ],
        }
    )
    for change in changes:
        _check_expected(document, change)
        ACTIONS[change.action](updated, change)
        updated.changed[f'{change.kind}/{change.name}'] = updated.revision
    existing_problems = set(
        references.find_reference_errors(document.resources)
    )
    problems = references.find_reference_errors(updated.resources)
    # Earlier releases accepted references that are now invalid. These must not
    # block unrelated changes.
    new_problems = [
        problem for problem in problems if problem not in existing_problems
    ]
    if new_problems:
        _check_deletions(document, updated, changes)
        raise errors.RefusalError('invalid_resource', '; '.join(new_problems))
    updated.prune_deletions()
    if len(resources.dump_document(updated)) > resources.MAX_DOCUMENT_BYTES:
        raise errors.RefusalError(
            'too_large',
            f'the configuration exceeds {resources.MAX_DOCUMENT_BYTES} bytes',
        )
    return updated


def _check_expected(document: resources.Document, change: Change) -> None:
    current = document.get_resource_revision(change.kind, change.name)
    if change.expected is not None and change.expected != current:
        key = f'{change.kind}/{change.name}'
        raise StateConflict(
            'conflict',
            f'{key} was last changed at revision {current}, '
            f'not {change.expected}',
            describe_resource(document, change.kind, change.name),
        )


def _check_deletions(
    before: resources.Document,
    after: resources.Document,
    changes: list[Change],
) -> None:
    for change in changes:
        if change.action != 'delete':
            continue
        referrers = references.find_referrers(
            after.resources, change.kind, change.name
        )
        if referrers:
            raise StateConflict(
                'referenced',
                f'{change.kind} {change.name} is used by '
                f'{", ".join(referrers)}',
                {
                    **describe_resource(before, change.kind, change.name),
                    'referrers': referrers,
                },
            )


def _put(document: resources.Document, change: Change) -> None:
    entries = document.resources.setdefault(change.kind, {})
    value = change.value
    if change.update is not None:
        if change.name not in entries:
            raise errors.RefusalError(
                'not_found', f'no {change.kind} {change.name}'
            )
        current = entries[change.name]
        value = {**current, **change.update(copy.deepcopy(current))}
    parsed = resources.parse_resource(change.kind, value)
    if parsed.name != change.name:
        raise errors.RefusalError(
            'invalid_request', f'the resource must be named {change.name}'
        )
    if isinstance(parsed, resources.ModelVersion):
        current = entries.get(parsed.name, {})
        has_moved = parsed.moved_sessions or (
            current.get('moved_sessions', False)
            or parsed.state is resources.VersionState.WITHDRAWN
        )
        parsed = parsed.model_copy(update={'moved_sessions': has_moved})
    entries[parsed.name] = parsed.model_dump(
        mode='json', exclude_defaults=True
    )


def _delete(document: resources.Document, change: Change) -> None:
    if change.kind not in resources.KINDS:
        raise errors.RefusalError(
            'unknown_kind', f'unknown kind {change.kind!r}'
        )
    entries = document.resources.get(change.kind, {})
    if change.name not in entries:
        raise errors.RefusalError(
            'not_found', f'no {change.kind} {change.name}'
        )
    del entries[change.name]


ACTIONS = {'put': _put, 'delete': _delete}
