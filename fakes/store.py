"""Fake key-value store with the JSON API of the etcd v3 gateway."""

import base64
import dataclasses
import json
import time

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from fakes import programs

MAX_VALUE_BYTES = 1_000_000
MAX_EVENTS = 500


@dataclasses.dataclass
class StoredValue:
    """A value with its revisions, version and lease; lease 0 is none."""

    value: bytes
    mod_revision: int
    create_revision: int
    version: int
    lease: int = 0


class Store:
    """Key-value store.

    Faults (``POST /faults``): ``down`` responds with 503 to every call,
    ``lose_answers`` is the share of writes that are applied but whose
    response is lost (504), ``down_after_write`` takes the store down after
    the next write, ``delay`` delays each call by this many seconds,
    ``watch_down`` refuses and ends watches, ``watch_silent`` keeps them open
    without events, ``stale`` serves serializable reads from a snapshot of
    the time it was set, as a member without a quorum does, and
    ``reads_per_second`` refuses reads above a rate (429).
    """

    def __init__(self):
        self.revision = 0
        self.values: dict[bytes, StoredValue] = {}
        self.leases: dict[int, tuple[float, int]] = {}
        self.call_counts: dict[str, int] = {}
        self.faults = {
            'down': False,
            'lose_answers': 0.0,
            'delay': 0.0,
            'watch_down': False,
            'watch_silent': False,
            'stale': False,
            'reads_per_second': 0,
        }
        self.read_times: list[float] = []
        self.changed = anyio.Event()
        self.history: list[dict] = []
        self.compacted_revision = 0
        self.snapshot: dict[bytes, dict] | None = None

    def format_entry(self, key: bytes) -> dict:
        """Returns an entry in the JSON form of the protocol."""
        stored = self.values[key]
        return {
            'key': base64.b64encode(key).decode(),
            'value': base64.b64encode(stored.value).decode(),
            'mod_revision': str(stored.mod_revision),
            'create_revision': str(stored.create_revision),
            'version': str(stored.version),
            'lease': str(stored.lease),
        }

    def make_header(self) -> dict:
        """Returns the header of a response."""
        return {'revision': str(self.revision)}

    def put(self, key: bytes, value: bytes, lease: int) -> None:
        """Writes a value."""
        previous = self.values.get(key)
        self.values[key] = StoredValue(
            value,
            self.revision,
            previous.create_revision if previous else self.revision,
            previous.version + 1 if previous else 1,
            lease,
        )
        self.record('PUT', self.format_entry(key))

    def remove(self, key: bytes) -> None:
        """Deletes a key if it exists."""
        if self.values.pop(key, None) is not None:
            self.record(
                'DELETE',
                {
                    'key': base64.b64encode(key).decode(),
                    'mod_revision': str(self.revision),
                },
            )

    def record(self, kind: str, entry: dict) -> None:
        """Adds an event to the history and notifies the watches."""
        self.history.append({'type': kind, 'kv': entry})
        self._compact()
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def _compact(self) -> None:
        compacted_events = self.history[:-MAX_EVENTS]
        del self.history[:-MAX_EVENTS]
        if compacted_events:
            self.compacted_revision = int(
                compacted_events[-1]['kv']['mod_revision']
            )

    def expire_leases(self) -> None:
        """Revokes the expired leases."""
        now = time.monotonic()
        for lease, (deadline, _) in list(self.leases.items()):
            if deadline <= now:
                self.revoke_lease(lease)

    def revoke_lease(self, lease: int) -> None:
        """Revokes a lease and deletes its keys."""
        self.leases.pop(lease, None)
        keys = [k for k, v in self.values.items() if v.lease == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.remove(key)


class StoreApi:
    """HTTP interface of the store."""

    def __init__(self):
        self.store = Store()

    def routes(self) -> list[routing.Route]:
        """Returns the routes."""
        table = {
            'kv/range': self._range,
            'kv/txn': self._txn,
            'lease/grant': self._grant,
            'lease/keepalive': self._keep_alive,
            'lease/revoke': self._revoke,
        }
        call_routes = [
            routing.Route(
                f'/v3/{path}',
                self._make_endpoint(path, handler),
                methods=['POST'],
            )
            for path, handler in table.items()
        ]
        return [
            *call_routes,
            routing.Route('/v3/watch', self._watch, methods=['POST']),
            routing.Route('/faults', self._set_faults, methods=['POST']),
            routing.Route('/counts', self._get_counts, methods=['GET']),
        ]

    def _make_endpoint(self, path, handler):
        async def serve(request: requests.Request):
            store = self.store
            store.call_counts[path] = store.call_counts.get(path, 0) + 1
            if store.faults['delay']:
                await anyio.sleep(store.faults['delay'])
            if store.faults['down']:
                return responses.JSONResponse({'error': 'down'}, 503)
            if path == 'kv/range' and self._exceeds_rate():
                return responses.JSONResponse({'error': 'rate'}, 429)
            store.expire_leases()
            try:
                body = await request.body()
            except requests.ClientDisconnect:
                # The client disconnected during the delay.
                return responses.Response(status_code=400)
            response = handler(json.loads(body))
            if path == 'kv/txn' and store.faults.pop('down_after_write', 0):
                store.faults['down'] = True
            if path != 'kv/range' and self._is_response_lost():
                return responses.JSONResponse({'error': 'lost'}, 504)
            return responses.JSONResponse(response)

        return serve

    def _exceeds_rate(self) -> bool:
        store = self.store
        limit = store.faults['reads_per_second']
        if not limit:
            return False
        now = time.monotonic()
        store.read_times = [t for t in store.read_times if t > now - 1]
        if len(store.read_times) >= limit:
            return True
        store.read_times.append(now)
        return False

    def _is_response_lost(self) -> bool:
        faults = self.store.faults
        faults['count'] = faults.get('count', 0.0) + faults['lose_answers']
        if faults['count'] >= 1:
            faults['count'] -= 1
            return True
        return False

    async def _set_faults(self, request: requests.Request):
        store = self.store
        store.faults.update(await request.json())
        if not store.faults['stale']:
            store.snapshot = None
        elif store.snapshot is None:
            store.snapshot = {k: store.format_entry(k) for k in store.values}
        return responses.JSONResponse(self.store.faults)

    async def _get_counts(self, request: requests.Request):
        return responses.JSONResponse(self.store.call_counts)

    def _range(self, body: dict) -> dict:
        store = self.store
        key = base64.b64decode(body['key'])
        if body.get('serializable') and store.snapshot is not None:
            kvs = [store.snapshot[key]] if key in store.snapshot else []
            return {'header': store.make_header(), 'kvs': kvs}
        if 'range_end' in body:
            end = base64.b64decode(body['range_end'])
            keys = sorted(k for k in store.values if key <= k < end)
        else:
            keys = [key] if key in store.values else []
        return {
            'header': store.make_header(),
            'kvs': [store.format_entry(k) for k in keys],
            'count': str(len(keys)),
        }

    def _txn(self, body: dict) -> dict:
        store = self.store
        succeeded = all(self._is_satisfied(c) for c in body.get('compare', []))
        operations = body.get('success' if succeeded else 'failure', [])
        if operations:
            store.revision += 1
        for operation in operations:
            if 'request_put' in operation:
                put = operation['request_put']
                value = base64.b64decode(put.get('value', ''))
                if len(value) > MAX_VALUE_BYTES:
                    raise ValueError(
                        f'value too large: got {len(value)} bytes, '
                        f'limit {MAX_VALUE_BYTES}'
                    )
                store.put(
                    base64.b64decode(put['key']),
                    value,
                    int(put.get('lease', 0)),
                )
            elif 'request_delete_range' in operation:
                store.remove(
                    base64.b64decode(operation['request_delete_range']['key'])
                )
        return {'header': store.make_header(), 'succeeded': succeeded}

    def _is_satisfied(self, compare: dict) -> bool:
        stored = self.store.values.get(base64.b64decode(compare['key']))
        revision = stored.mod_revision if stored else 0
        return revision == int(compare['mod_revision'])

    def _grant(self, body: dict) -> dict:
        lease = time.time_ns()
        seconds = int(body['TTL'])
        self.store.leases[lease] = (time.monotonic() + seconds, seconds)
        return {
            'header': self.store.make_header(),
            'ID': str(lease),
            'TTL': str(seconds),
        }

    def _keep_alive(self, body: dict) -> dict:
        lease = int(body['ID'])
        if lease not in self.store.leases:
            return {'result': {'ID': str(lease), 'TTL': '0'}}
        seconds = self.store.leases[lease][1]
        self.store.leases[lease] = (time.monotonic() + seconds, seconds)
        return {'result': {'ID': str(lease), 'TTL': str(seconds)}}

    def _revoke(self, body: dict) -> dict:
        self.store.revoke_lease(int(body['ID']))
        return {'header': self.store.make_header()}

    async def _watch(self, request: requests.Request):
        store = self.store
        store.call_counts['watch'] = store.call_counts.get('watch', 0) + 1
        if store.faults['down'] or store.faults['watch_down']:
            return responses.JSONResponse({'error': 'down'}, 503)
        create = (await request.json())['create_request']
        key = create['key']
        start = int(create.get('start_revision', 0))

        async def stream():
            last_revision = start - 1
            yield json.dumps({'result': {'created': True}}) + '\n'
            if 0 < start <= store.compacted_revision:
                canceled = {
                    'canceled': True,
                    'compact_revision': str(store.compacted_revision + 1),
                    'cancel_reason': 'required revision has been compacted',
                }
                yield json.dumps({'result': canceled}) + '\n'
                return
            while not (store.faults['down'] or store.faults['watch_down']):
                if store.faults['watch_silent']:
                    await anyio.sleep(0.2)
                    continue
                changed = store.changed
                events = [
                    e
                    for e in store.history
                    if e['kv']['key'] == key
                    and int(e['kv']['mod_revision']) > last_revision
                ]
                if events:
                    last_revision = int(events[-1]['kv']['mod_revision'])
                    yield json.dumps({'result': {'events': events}}) + '\n'
                with anyio.move_on_after(1):
                    await changed.wait()

        return responses.StreamingResponse(
            stream(), media_type='application/json'
        )


def make_app() -> applications.Starlette:
    """Returns the store as an application."""
    return applications.Starlette(routes=StoreApi().routes())


if __name__ == '__main__':
    programs.run_from_command_line(make_app)
