"""Deltas between revisions and the view that applies them."""

import zlib

import pytest

from chivejunction import errors
from chivejunction.coordination import configuration
from chivejunction.protocol import deltas
from chivejunction.protocol import resources
from chivejunction.state import views
from chivejunction.transport import stores

Change = configuration.Change


def make_put(name: str, **value) -> Change:
    return Change('put', 'pool', name, {'name': name, **value})


def make_history(*changes: Change) -> list[resources.Document]:
    """Returns the document of each revision, the empty one first."""
    documents = [resources.Document()]
    for number, change in enumerate(changes):
        documents.append(
            configuration.apply_changes(
                documents[-1], [change], None, f'id-{number}'
            )
        )
    return documents


HISTORY = make_history(
    *(make_put(f'p-{n}') for n in range(8)),
    make_put('p-0', queue_length=1),
    Change('delete', 'pool', 'p-1'),
)


def compute_digest(document: resources.Document) -> int:
    return deltas.Digester().compute(document)


def make_view(document: resources.Document) -> views.ConfigView:
    view = views.ConfigView()
    view.apply(document)
    return view


class TestDelta:
    @pytest.mark.parametrize('base', [7, 8, 9])
    def test_applied_delta_gives_the_same_document(self, base):
        """Guards against content that differs with how it was transferred."""
        newest = HISTORY[-1]
        delta = deltas.make_delta(newest, base, compute_digest(newest))
        updated = deltas.apply_delta(HISTORY[base], delta)
        assert updated.model_dump() == newest.model_dump()
        assert compute_digest(updated) == compute_digest(newest)

    def test_no_delta_is_made_across_forgotten_deletions(self, monkeypatch):
        """Guards against a peer that keeps a deleted resource.

        The document no longer lists the deletion, so a delta would lack it.
        """
        monkeypatch.setattr(resources, 'MAX_DELETIONS', 0)
        newest = configuration.apply_changes(
            HISTORY[8], [Change('delete', 'pool', 'p-2')], None, 'x'
        )
        assert newest.forgotten == 9
        assert deltas.make_delta(newest, 8, 0) is None

    def test_wrong_digest_is_refused(self):
        delta = deltas.make_delta(HISTORY[-1], 9, 1)
        view = make_view(HISTORY[9])
        with pytest.raises(errors.ProtocolError):
            view.apply_delta(delta)
        assert view.revision == 9

    def test_delta_from_another_revision_is_refused(self):
        newest = HISTORY[-1]
        delta = deltas.make_delta(newest, 9, compute_digest(newest))
        with pytest.raises(errors.ProtocolError):
            make_view(HISTORY[8]).apply_delta(delta)

    def test_digest_of_a_lost_race_is_not_reused(self):
        """Guards against hashes that are reused by revision alone.

        A change that loses the race for a revision has other content than the
        one that wins it.
        """
        digester = deltas.Digester()
        losing, winning = (
            configuration.apply_changes(HISTORY[3], [change], None, 'x')
            for change in (make_put('new'), make_put('new', queue_length=9))
        )
        digester.compute(losing)
        assert digester.compute(winning) == compute_digest(winning)

    def test_decompression_bomb_is_refused(self, monkeypatch):
        """Guards against a small message that decompresses to a large one."""
        monkeypatch.setattr(resources, 'MAX_DOCUMENT_BYTES', 10)
        with pytest.raises(errors.ProtocolError):
            deltas.decompress_json(deltas.compress_json({'x': 'y' * 100}))


class TestConfigInForce:
    def test_older_document_changes_nothing(self):
        view = make_view(HISTORY[5])
        assert not view.apply(HISTORY[4])
        assert view.revision == 5

    def test_decreasing_revision_is_a_violation(self):
        view = make_view(HISTORY[5])
        view.document = HISTORY[3]
        with pytest.raises(errors.InvariantViolation) as raised:
            view.apply(HISTORY[4])
        assert raised.value.name == 'config_in_force'

    def test_two_digests_of_a_revision_are_a_violation(self):
        view = make_view(HISTORY[5])
        with pytest.raises(errors.InvariantViolation):
            view.check_digest(5, view.digest + 1)
        view.check_digest(4, 0)

    def test_requests_are_refused_before_the_first_configuration(self):
        view = views.ConfigView()
        with pytest.raises(errors.RefusalError) as raised:
            view.check_ready()
        assert raised.value.code == 'not_ready'


class TestOddDocuments:
    """Guards against documents that end a task with an undeclared error."""

    TEXTS = [
        b'',
        b'\xff',
        b'[' * 100_000,
        b'[]',
        b'7',
        b'null',
        b'{"revision": 1}',
        b'{"revision": "1", "digest": 1}',
        b'{"revision": 1, "digest": [1]}',
        b'{"revision": 1e999, "digest": 1}',
        b'{"revision": -1, "digest": 1}',
    ]

    @pytest.mark.parametrize('text', TEXTS)
    def test_head(self, text):
        with pytest.raises(errors.ProtocolError):
            configuration.parse_head(stores.Entry('head', text, 1, 0))

    @pytest.mark.parametrize('text', TEXTS[:6])
    def test_compressed_value(self, text):
        with pytest.raises(errors.ProtocolError):
            deltas.decompress_json(zlib.compress(text))

    @pytest.mark.parametrize('data', [b'', None, 7, 'text', [1]])
    def test_value_that_is_not_compressed(self, data):
        with pytest.raises(errors.ProtocolError):
            deltas.decompress_json(data)

    @pytest.mark.parametrize(
        'change',
        [
            {'changed': 7},
            {'changed': {'pool': [1, {}]}},
            {'changed': {'pool/a': [1, {}, 3]}},
            {'changed': {'pool/a': ['x', {}]}},
            {'changed': {'pool/a': [1, 7]}},
            {'changes': 7},
            {'revision': 'x'},
            {'revision': float('inf')},
            {'forgotten': 'x'},
            {'forgotten': None},
        ],
    )
    def test_delta(self, change):
        newest = HISTORY[-1]
        delta = deltas.make_delta(newest, 8, compute_digest(newest))
        with pytest.raises(errors.ProtocolError):
            deltas.apply_delta(HISTORY[8], {**delta, **change})
