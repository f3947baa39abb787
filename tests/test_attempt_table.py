"""The agent's table of attempts."""

import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction.state import attempts


class TestBounds:
    """Guards against a false "not run" for an attempt that was forgotten."""

    def test_full_table_forgets_no_attempt_that_may_be_asked_for(
        self, monkeypatch
    ):
        monkeypatch.setattr(attempts, 'MAX_ATTEMPTS', 3)
        table = attempts.AttemptTable()
        deadline = clock.make_deadline(10)
        for name in 'abc':
            attempt = table.admit(name, name, 'temple', deadline)
            table.mark_running(attempt)
            table.finish(attempt, attempts.verdicts.Verdict.RAN)
        with pytest.raises(errors.RefusalError) as caught:
            table.admit('d', 'd', 'temple', deadline)
        assert caught.value.code == 'overloaded'
        assert table.get('a') is not None
        assert table.get('d') is None

    def test_expired_attempts_make_room(self, monkeypatch):
        monkeypatch.setattr(attempts, 'MAX_ATTEMPTS', 3)
        table = attempts.AttemptTable()
        past = clock.now() - attempts.KEEP_SECONDS - 1
        for name in 'abc':
            table.block(name, past)
        table.admit('d', 'd', 'temple', clock.make_deadline(10))
        assert table.get('a') is None
