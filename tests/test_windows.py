"""Concurrency window with slow start."""

from chivejunction import clock
from chivejunction.state import windows

COLD, WARM = 2, 16


def make_window():
    return windows.SlowStartWindow(1.0, lambda: (COLD, WARM))


def warm_up(window):
    for _ in range(40):
        started_at = clock.now()
        window.record_first_token(started_at, 0.1)
        window.record_end(started_at, 0.1, True)


class TestSlowStartWindow:
    """Guards against overload of a cold server and a window that is stuck."""

    def test_grows_from_cold_to_warm_on_fast_responses(self):
        window = make_window()
        assert window.size == COLD
        warm_up(window)
        assert window.size == WARM

    def test_does_not_grow_unless_full(self):
        window = make_window()
        for _ in range(40):
            window.record_end(clock.now(), 0.1, False)
        assert window.size == COLD

    def test_shrinks_once_for_concurrent_attempts(self):
        window = make_window()
        warm_up(window)
        started_at = clock.now()
        for _ in range(10):
            window.record_first_token(started_at, 1.2)
        assert window.size == int(WARM * windows.SHRINK_FACTOR)
        window.record_end(started_at, 0.1, True)
        assert window.size == int(WARM * windows.SHRINK_FACTOR)

    def test_never_shrinks_below_one(self):
        window = make_window()
        for _ in range(20):
            window.record_first_token(clock.now(), 1.2)
        assert window.size == 1

    def test_repeated_jumps_of_first_token_time_reset(self):
        window = make_window()
        warm_up(window)
        for _ in range(windows.RESTART_JUMP_COUNT):
            window.record_first_token(clock.now(), 30.0)
        assert window.size == COLD
        assert window.reset_count == 1

    def test_single_jumps_do_not_reset(self):
        window = make_window()
        warm_up(window)
        for _ in range(2 * windows.RESTART_JUMP_COUNT):
            window.record_first_token(clock.now(), 30.0)
            window.record_first_token(clock.now(), 0.1)
        assert window.reset_count == 0

    def test_reset_returns_to_cold_window(self):
        window = make_window()
        warm_up(window)
        window.reset('test')
        assert window.size == COLD
