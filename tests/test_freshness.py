"""Tests of the age of the configuration."""

import pytest

from chivejunction.state import freshness


class TestFreshness:
    def test_confirmation_expires(self, monkeypatch):
        now = [100.0]
        monkeypatch.setattr(freshness, 'read_boot_clock', lambda: now[0])
        config_freshness = freshness.Freshness(4.5)
        assert not config_freshness.is_current()
        config_freshness.confirm(99.0)
        config_freshness.confirm(98.0)
        assert config_freshness.age == 1.0
        now[0] += 4.5
        assert not config_freshness.is_current()

    @pytest.mark.parametrize('at', [101.0, 1e300, float('inf')])
    def test_confirmation_from_the_future_holds_from_now(
        self, monkeypatch, at
    ):
        """Else revoked keys would be accepted for longer."""
        now = [100.0]
        monkeypatch.setattr(freshness, 'read_boot_clock', lambda: now[0])
        config_freshness = freshness.Freshness(4.5)
        config_freshness.confirm(at)
        now[0] += 4.6
        assert not config_freshness.is_current()
        config_freshness.confirm(104.0)
        assert config_freshness.is_current()

    def test_confirmation_that_is_no_number_has_no_effect(self):
        config_freshness = freshness.Freshness(4.5)
        config_freshness.confirm(float('nan'))
        assert not config_freshness.is_current()
        config_freshness.confirm(freshness.read_boot_clock())
        config_freshness.confirm(float('nan'))
        assert config_freshness.is_current()
