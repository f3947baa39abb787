"""Fake metadata store of the users' platform, after its published API."""

import base64
import json
import time

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from fakes import programs

PAGE_SIZE = 50


class MetadataStore:
    """Store with leases, paged listings, watches and conditional writes.

    ``POST /faults`` sets faults: ``down`` responds with 503, ``busy`` with
    429, ``silent`` not at all; ``lose_answers`` is the number of writes that
    take effect without a response, ``delay`` the seconds added to each call,
    ``extra_items`` are added to each listing and each response of a watch.
    ``PUT /operator/{key}`` writes as the operator and the servers do,
    ``DELETE`` removes; ``POST /forget`` drops the change history.
    """

    def __init__(self):
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.dropped_revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.calls: dict[str, int] = {}
        self.faults = {
            'down': False,
            'silent': False,
            'busy': False,
            'lose_answers': 0,
            'delay': 0.0,
            'extra_items': [],
        }
        self._changed = anyio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key and appends the change to the history."""
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created_at': old['created_at'] if old else self.revision,
            'lease': lease,
        }
        self._append_event(self.items[key])

    def remove(self, key: str) -> None:
        """Deletes a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _append_event(self, event: dict) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def drop_history(self) -> None:
        """Drops the history, so that watches of older revisions fail."""
        self.history.clear()
        self.dropped_revision = self.revision
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def expire_leases(self) -> None:
        """Ends the leases whose deadline has passed."""
        now = time.monotonic()
        for lease, (deadline, _) in list(self.leases.items()):
            if deadline < now:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """Ends a lease and deletes its keys; returns whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)
        return True

    async def run_lease_expiry(self) -> None:
        """Ends expired leases until cancelled."""
        while True:
            self.expire_leases()
            await anyio.sleep(0.1)

    async def list(self, query) -> dict:
        """Returns a page of the listing of a prefix, for ``kv-range``."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        )
        return {
            'items': self._add_extra_items(
                [self.items[key] for key in keys[:PAGE_SIZE]]
            ),
            'has_more': len(keys) > PAGE_SIZE,
            'store_revision': self.revision,
        }

    async def watch(self, query) -> tuple[int, dict]:
        """Waits for changes; returns status and body for ``kv-watch``."""
        after = int(query['after'])
        prefix = query.get('prefix', '')
        with anyio.move_on_after(int(query['wait_ms']) / 1000):
            while True:
                changed = self._changed
                if after < self.dropped_revision:
                    return 410, {}
                events = [
                    event
                    for event in self.history
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                if events:
                    break
                await changed.wait()
        return 200, {
            'events': self._add_extra_items(events),
            'store_revision': self.revision,
        }

    def _add_extra_items(self, items: list) -> list:
        # First, so that a listing does not continue after their keys.
        return self.faults['extra_items'] + items

    async def commit(self, value: dict) -> tuple[int, dict]:
        """Commits a transaction; returns status and body for ``kv-txn``."""
        conflicts = []
        for condition in value.get('expected_rev', []):
            item = self.items.get(condition['key'])
            if (item['revision'] if item else 0) != condition['revision']:
                conflicts.append(
                    item or {'key': condition['key'], 'revision': 0}
                )
        if conflicts:
            return 412, {'items': conflicts}
        writes = value.get('writes', [])
        for write in writes:
            if write.get('lease') and write['lease'] not in self.leases:
                return 404, {}
        for write in writes:
            self.put(
                write['key'],
                base64.b64decode(write['value']),
                write.get('lease', 0),
            )
        for key in value.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}


def make_app(store: MetadataStore | None = None) -> applications.Starlette:
    """Returns the HTTP application of a store; of a new one by default."""
    store = store or MetadataStore()

    async def handle_call(request: requests.Request):
        call = request.path_params['call']
        store.calls[call] = store.calls.get(call, 0) + 1
        await anyio.sleep(store.faults['delay'])
        if store.faults['silent']:
            await anyio.sleep(3600)
        for fault, status in (('down', 503), ('busy', 429)):
            if store.faults[fault]:
                return responses.Response(status_code=status)
        status, value = await dispatch_call(request, call)
        is_write = call in ('kv-txn', 'kv-lease')
        if is_write and store.faults['lose_answers']:
            store.faults['lose_answers'] -= 1
            await anyio.sleep(3600)
        # Escaped, because keys of other writers may not be valid Unicode.
        return responses.Response(
            json.dumps(value), status, media_type='application/json'
        )

    async def dispatch_call(request, call):
        query = request.query_params
        if call == 'kv-key':
            item = store.items.get(query['key'])
            if item is None:
                return 404, {'store_revision': store.revision}
            return 200, {**item, 'store_revision': store.revision}
        if call == 'kv-range':
            return 200, await store.list(query)
        if call == 'kv-watch':
            return await store.watch(query)
        if call == 'kv-txn':
            return await store.commit(await request.json())
        if call == 'kv-lease':
            return grant_lease((await request.json())['ttl_ms'])
        lease = int(request.path_params['lease'])
        if call == 'kv-keep':
            return renew_lease(lease)
        return (200 if store.end_lease(lease) else 404), {}

    def grant_lease(ttl_ms):
        store.revision += 1
        seconds = ttl_ms / 1000
        store.leases[store.revision] = (time.monotonic() + seconds, seconds)
        return 200, {'lease': store.revision, 'ttl_ms': ttl_ms}

    def renew_lease(lease):
        store.expire_leases()
        if lease not in store.leases:
            return 404, {}
        seconds = store.leases[lease][1]
        store.leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {'ttl_ms': int(1000 * seconds)}

    async def write_key(request: requests.Request):
        key = request.path_params['key']
        if request.method == 'PUT':
            store.put(key, await request.body())
        else:
            store.remove(key)
        return responses.JSONResponse({'revision': store.revision})

    async def read_key(request: requests.Request):
        item = store.items.get(request.path_params['key'])
        if item is None:
            return responses.Response(status_code=404)
        return responses.Response(base64.b64decode(item['value']))

    async def set_faults(request: requests.Request):
        store.faults.update(await request.json())
        return responses.JSONResponse(store.faults)

    async def drop_history(request: requests.Request):
        store.drop_history()
        return responses.Response()

    methods = ['GET', 'POST', 'DELETE']
    return applications.Starlette(
        routes=[
            routing.Route('/v1/{call}', handle_call, methods=methods),
            routing.Route('/v1/{call}/{lease}', handle_call, methods=methods),
            routing.Route(
                '/operator/{key:path}', write_key, methods=['PUT', 'DELETE']
            ),
            routing.Route('/operator/{key:path}', read_key, methods=['GET']),
            routing.Route('/faults', set_faults, methods=['POST']),
            routing.Route('/forget', drop_history, methods=['POST']),
        ]
    )


if __name__ == '__main__':
    programs.run_from_command_line(make_app)
