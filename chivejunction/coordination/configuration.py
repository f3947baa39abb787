"""Reads and changes of the configuration document in the store."""

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
# Small companion of the document, written in the same transaction, so that
# watching and checking do not transfer up to 1 MB for each change.
HEAD_KEY = 'chivejunction/config-head'
MAX_HEAD_DELTA_BYTES = 64_000
# Longest time that one change is tried and its outcome is looked for.
CHANGE_SECONDS = 8.0
RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One resource to put or delete.

    Attributes:
        action: ``put`` or ``delete``.
        kind: Kind of the resource.
        name: Name of the resource.
        value: The resource; empty for a deletion.
        expected: Revision of its last change that the operator has seen; 0
            if it must not exist, None to change it whatever it is.
        update: Returns the changed fields of the present resource, in place
            of a value.
    """

    action: Literal['put', 'delete']
    kind: str
    name: str
    value: dict = dataclasses.field(default_factory=dict)
    expected: int | None = None
    update: Callable[[dict], dict] | None = None


class StateConflict(errors.RefusalError):
    """A change was refused because of the present state.

    Args:
        code: Refusal code.
        detail: Explanation.
        current: Present state, shown to the operator.
    """

    def __init__(self, code: str, detail: str, current: dict):
        super().__init__(code, detail)
        self.current = current


def describe_resource(
    document: resources.Document, kind: str, name: str
) -> dict:
    """Returns a resource with the revision of its last change.

    ``resource`` is None and ``changed_at`` is 0 if it does not exist.
    """
    return {
        'kind': kind,
        'name': name,
        'resource': document.resources.get(kind, {}).get(name),
        'changed_at': document.revision_of(kind, name),
        'revision': document.revision,
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """What the companion key tells about the document.

    Attributes:
        revision: Revision of the document.
        digest: Digest of the document.
        delta: Changes since the revision before, None if they are large.
        store_revision: Modification revision in the store, which document
            and head have in common.
    """

    revision: int
    digest: int
    delta: dict | None
    store_revision: int


def parse_head(entry: stores.Entry) -> Head:
    """Returns the head of a store entry.

    Raises:
        ProtocolError: The entry is not a head.
    """
    try:
        value = json.loads(entry.value)
        return Head(
            value['revision'],
            value['digest'],
            value.get('delta'),
            entry.revision,
        )
    except (ValueError, KeyError, TypeError) as exc:
        raise errors.ProtocolError(f'malformed head: {exc!r}') from exc


def pack_stored(document: resources.Document) -> bytes:
    """Returns the compressed form of a document that the store holds."""
    return zlib.compress(resources.dump_document(document))


def parse_stored(data: bytes) -> resources.Document:
    """Returns the document of a stored value, compressed or plain JSON.

    Raises:
        ProtocolError: The value is not a document or is too large.
    """
    if data.startswith(b'{'):
        return resources.parse_document(data)
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, resources.MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise errors.ProtocolError(f'malformed document: {exc}') from exc
    if inflater.unconsumed_tail:
        raise errors.ProtocolError('compressed document is too large')
    return resources.parse_document(text)


class Configuration:
    """The configuration document in the platform's store.

    Args:
        store: Client of the store.
        view: Configuration of this process. A change starts from it when it
            is the store's, which saves reading the whole document.
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
            is_local: See StoreClient.get.

        Raises:
            StoreError: The store cannot be read.
            ProtocolError: The key holds something else.
        """
        entry = await self._store.get(HEAD_KEY, is_local)
        return None if entry is None else parse_head(entry)

    async def watch_heads(self, start: int, seconds: float):
        """Yields the heads that are written.

        Args:
            start: First store revision of interest.
            seconds: Longest silence before the watch is given up.

        Raises:
            StoreError: The watch ended or fell silent.
            ProtocolError: The key holds something else.
        """
        async with contextlib.aclosing(
            self._store.watch(HEAD_KEY, start, seconds)
        ) as entries:
            async for entry in entries:
                yield parse_head(entry)

    async def _read_base(self) -> tuple[resources.Document, int]:
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

        Raises:
            StoreError: The store cannot be read.
        """
        entry = await self._store.get(CONFIG_KEY)
        if entry is None:
            return resources.Document(), 0
        return parse_stored(entry.value), entry.revision

    async def put(
        self, kind: str, value: dict, expected: int | None = None
    ) -> resources.Document:
        """Creates or replaces a resource; see apply for the errors."""
        name = resources.parse_resource(kind, value).name
        return await self.apply([Change('put', kind, name, value, expected)])

    async def delete(
        self, kind: str, name: str, expected: int | None = None
    ) -> resources.Document:
        """Deletes a resource; see apply for the errors."""
        return await self.apply([Change('delete', kind, name, {}, expected)])

    async def apply(
        self,
        changes: Iterable[Change],
        expected: int | None = None,
        change_id: str = '',
    ) -> resources.Document:
        """Makes several changes as one revision: all of them or none.

        Args:
            changes: The changes, made in order.
            expected: Revision that the whole document must have; None for
                any.
            change_id: Unique id of this request. Repeating a request with
                its id makes the changes once.

        Returns:
            A document that contains the changes.

        Raises:
            RefusalError: A change is not valid or its resource was changed
                meanwhile; nothing was changed. With ``result_unknown`` and
                MAY_HAVE_RUN a write was sent and its outcome could not be
                read in time.
            StoreError: The store is down; nothing was changed.
        """
        changes = list(changes)
        change_id = change_id or uuid.uuid4().hex
        deadline = clock.make_deadline(CHANGE_SECONDS)
        # A write whose answer was lost, and that a read has not yet shown to
        # be made or overtaken.
        is_pending = False
        delay = RETRY_SECONDS
        while True:
            try:
                document, store_revision = await self._read_base()
                if change_id in document.changes:
                    return document
                changed = make_changes(document, changes, expected, change_id)
                # The pending write expects the same store revision, or an
                # older one. At most one of the two can take effect.
                await self._store.swap(
                    CONFIG_KEY,
                    pack_stored(changed),
                    store_revision,
                    also={HEAD_KEY: self._make_head(changed)},
                )
                return changed
            except errors.StoreConflict:
                # Another change came first. The document that the next read
                # returns tells whether a pending write was made.
                pass
            except errors.StoreResultUnknown:
                is_pending = True
            except errors.StoreError:
                if not is_pending:
                    raise
            if clock.has_passed(deadline):
                raise self._make_timeout(is_pending, change_id)
            await anyio.sleep(clock.jitter(delay))
            delay = min(2 * delay, MAX_RETRY_SECONDS)

    def _make_head(self, document: resources.Document) -> bytes:
        digest = self._digester.compute(document)
        head = {'revision': document.revision, 'digest': digest}
        delta = deltas.make_delta(document, document.revision - 1, digest)
        data = json.dumps({**head, 'delta': delta}).encode()
        if delta is None or len(data) > MAX_HEAD_DELTA_BYTES:
            return json.dumps(head).encode()
        return data

    @staticmethod
    def _make_timeout(is_pending: bool, change_id: str) -> errors.Error:
        if not is_pending:
            return errors.StoreError(
                f'other changes came first for {CHANGE_SECONDS} s'
            )
        return errors.RefusalError(
            'result_unknown',
            f'the store has not told whether change {change_id} was made; '
            'repeat the request with this Change-Id',
            verdicts.Verdict.MAY_HAVE_RUN,
        )


def make_changes(
    document: resources.Document,
    changes: list[Change],
    expected: int | None,
    change_id: str,
) -> resources.Document:
    """Returns the next revision of a document.

    Args:
        document: Present document; it is left as it is.
        changes: The changes, made in order.
        expected: Revision that the document must have, or None.
        change_id: Id that is recorded in the document.

    Raises:
        RefusalError: A change cannot be made.
    """
    if expected is not None and document.revision != expected:
        raise StateConflict(
            'conflict',
            f'the configuration is at revision {document.revision}',
            {'revision': document.revision},
        )
    found = document.model_copy(
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
        ACTIONS[change.action](found, change)
        found.changed[f'{change.kind}/{change.name}'] = found.revision
    known = set(references.find_problems(document.resources))
    problems = references.find_problems(found.resources)
    # A problem that an older program let in must not block other changes.
    new = [problem for problem in problems if problem not in known]
    if new:
        _check_deletions(document, found, changes)
        raise errors.RefusalError('invalid_resource', '; '.join(new))
    found.forget_deletions()
    if len(resources.dump_document(found)) > resources.MAX_DOCUMENT_BYTES:
        raise errors.RefusalError(
            'too_large',
            f'the configuration exceeds {resources.MAX_DOCUMENT_BYTES} bytes',
        )
    return found


def _check_expected(document: resources.Document, change: Change) -> None:
    current = document.revision_of(change.kind, change.name)
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
        present = entries[change.name]
        value = {**present, **change.update(copy.deepcopy(present))}
    parsed = resources.parse_resource(change.kind, value)
    if parsed.name != change.name:
        raise errors.RefusalError(
            'invalid_request', f'the resource must be named {change.name}'
        )
    if isinstance(parsed, resources.ModelVersion):
        present = entries.get(parsed.name, {})
        has_moved = parsed.moved_sessions or (
            present.get('moved_sessions', False)
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
