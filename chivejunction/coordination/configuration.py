"""Reads and changes of the configuration document in the store."""

import uuid

from chivejunction import errors
from chivejunction.protocol import resources
from chivejunction.transport import store_client

CONFIG_KEY = 'chivejunction/config'
MAX_TRIES = 8


class Configuration:
    """The configuration document in the platform's store.

    Args:
        store: Client of the store.
    """

    def __init__(self, store: store_client.StoreClient):
        self._store = store

    async def read(self) -> tuple[resources.Document, int]:
        """Returns the document and its modification revision in the store.

        Raises:
            StoreError: The store cannot be read.
        """
        entry = await self._store.get(CONFIG_KEY)
        if entry is None:
            return resources.Document(), 0
        return (
            resources.Document.model_validate_json(entry.value),
            entry.revision,
        )

    async def put(
        self, kind: str, value: dict, expected: int | None = None
    ) -> resources.Document:
        """Creates or replaces a resource.

        Args:
            kind: Kind of the resource.
            value: The resource.
            expected: Revision of its last change that the caller has seen;
                None to replace whatever is there, 0 for a new resource.

        Returns:
            The document with the change.

        Raises:
            RefusalError: The resource is not valid or was changed meanwhile.
            StoreError: The store is down; nothing or the whole change took
                effect.
        """
        parsed = resources.parse_resource(kind, value)

        def change(document: resources.Document) -> None:
            entries = document.resources.setdefault(kind, {})
            entries[parsed.name] = parsed.model_dump(
                mode='json', exclude_defaults=True
            )

        return await self._change(kind, parsed.name, change, expected)

    async def delete(
        self, kind: str, name: str, expected: int | None = None
    ) -> resources.Document:
        """Deletes a resource; see put for arguments and errors."""

        def change(document: resources.Document) -> None:
            if name not in document.resources.get(kind, {}):
                raise errors.RefusalError('not_found', f'no {kind} {name}')
            del document.resources[kind][name]

        return await self._change(kind, name, change, expected)

    async def _change(self, kind, name, change, expected):
        change_id = uuid.uuid4().hex
        key = f'{kind}/{name}'
        for _ in range(MAX_TRIES):
            document, store_revision = await self.read()
            if change_id in document.changes:
                return document
            if expected is not None and (
                document.changed.get(key, 0) != expected
            ):
                raise errors.RefusalError(
                    'conflict',
                    f'{key} was changed at {document.changed.get(key, 0)}',
                )
            change(document)
            document.revision += 1
            document.changed[key] = document.revision
            document.changes = [
                *document.changes[-resources.MAX_CHANGE_IDS + 1 :],
                change_id,
            ]
            data = document.model_dump_json().encode()
            if len(data) > resources.MAX_DOCUMENT_BYTES:
                raise errors.RefusalError(
                    'too_large', 'the configuration exceeds 1 MB'
                )
            try:
                await self._store.swap(CONFIG_KEY, data, store_revision)
                return document
            except (errors.StoreConflict, errors.StoreResultUnknown):
                # The next read tells whether the change took effect.
                continue
        raise errors.StoreError(f'no change of {key} after {MAX_TRIES} tries')
