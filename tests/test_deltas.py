"""Differences between revisions and the view that applies them."""

import pytest

from chivejunction import errors
from chivejunction.coordination import configuration
from chivejunction.protocol import deltas
from chivejunction.protocol import resources
from chivejunction.state import views

Change = configuration.Change


def put(name: str, **value) -> Change:
    return Change('put', 'pool', name, {'name': name, **value})


def make_history(*changes: Change) -> list[resources.Document]:
    """Returns the document of each revision, the empty one first."""
    found = [resources.Document()]
    for number, change in enumerate(changes):
        found.append(
            configuration.apply_changes(
                found[-1], [change], None, f'id-{number}'
            )
        )
    return found


HISTORY = make_history(
    *(put(f'p-{n}') for n in range(8)),
    put('p-0', queue_length=1),
    Change('delete', 'pool', 'p-1'),
)


def digest_of(document: resources.Document) -> int:
    return deltas.Digester().compute(document)


def make_view(document: resources.Document) -> views.ConfigView:
    view = views.ConfigView()
    view.apply(document)
    return view


class TestDelta:
    @pytest.mark.parametrize('base', [7, 8, 9])
    def test_gives_the_same_document(self, base):
        """Guards against content that depends on how it arrived."""
        newest = HISTORY[-1]
        delta = deltas.make_delta(newest, base, digest_of(newest))
        found = deltas.apply_delta(HISTORY[base], delta)
        assert found.model_dump() == newest.model_dump()
        assert digest_of(found) == digest_of(newest)

    def test_is_not_made_across_forgotten_deletions(self, monkeypatch):
        """Guards against a deleted resource that stays at a peer."""
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
        delta = deltas.make_delta(newest, 9, digest_of(newest))
        with pytest.raises(errors.ProtocolError):
            make_view(HISTORY[8]).apply_delta(delta)

    def test_digest_of_a_lost_race_is_not_reused(self):
        """Guards the reuse of hashes by revision alone."""
        digester = deltas.Digester()
        lost, won = (
            configuration.apply_changes(HISTORY[3], [change], None, 'x')
            for change in (put('new'), put('new', queue_length=9))
        )
        digester.compute(lost)
        assert digester.compute(won) == digest_of(won)

    def test_packed_bomb_is_refused(self, monkeypatch):
        monkeypatch.setattr(resources, 'MAX_DOCUMENT_BYTES', 10)
        with pytest.raises(errors.ProtocolError):
            deltas.unpack_json(deltas.pack_json({'x': 'y' * 100}))


class TestConfigInForce:
    def test_older_document_changes_nothing(self):
        view = make_view(HISTORY[5])
        assert not view.apply(HISTORY[4])
        assert view.revision == 5

    def test_fallen_revision_is_a_violation(self):
        view = make_view(HISTORY[5])
        view.document = HISTORY[3]
        with pytest.raises(errors.InvariantViolation) as caught:
            view.apply(HISTORY[4])
        assert caught.value.name == 'config_in_force'

    def test_two_contents_of_a_revision_are_a_violation(self):
        view = make_view(HISTORY[5])
        with pytest.raises(errors.InvariantViolation):
            view.check_digest(5, view.digest + 1)
        view.check_digest(4, 0)

    def test_work_is_refused_before_the_first_configuration(self):
        view = views.ConfigView()
        with pytest.raises(errors.RefusalError) as caught:
            view.check_ready()
        assert caught.value.code == 'not_ready'
