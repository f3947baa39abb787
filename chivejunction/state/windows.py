"""Concurrency window of a backend server, with slow start."""

from collections.abc import Callable

from chivejunction import clock
from chivejunction import logs

SHRINK_FACTOR = 0.7
# A single slow response may come from a long prompt; several in a row show
# that the server has restarted.
RESTART_JUMP_COUNT = 3
# A time to first token counts as a jump from this ratio to the baseline, or
# to half the target where that is longer.
JUMP_RATIO = 4.0
MIN_BASELINE_SAMPLES = 10
BASELINE_SMOOTHING_FACTOR = 0.1


class SlowStartWindow:
    """Concurrency window that adapts to the time to first token.

    It starts at the cold window of the pool. Each complete response whose
    time to first token is within the target, of an attempt that filled the
    window, adds one, up to the warm window. A time above the target shrinks
    the window, at most once for attempts that ran concurrently.

    Args:
        target_seconds: Longest acceptable time to first token.
        get_limits: Returns the cold and the warm window of the pool.

    Attributes:
        baseline_first_token_seconds: Moving average of the time to first
            token, without jumps; 0 before the first sample.
        reset_count: How often the window was reset.
    """

    def __init__(
        self, target_seconds: float, get_limits: Callable[[], tuple[int, int]]
    ):
        self._target_seconds = target_seconds
        self._get_limits = get_limits
        self._size: float | None = None
        self._last_shrink_at = 0.0
        self._consecutive_jumps = 0
        self._sample_count = 0
        self.baseline_first_token_seconds = 0.0
        self.reset_count = 0

    @property
    def size(self) -> int:
        """Requests that may run at the same time."""
        cold, warm = self._get_limits()
        size = cold if self._size is None else self._size
        return max(1, int(min(size, warm)))

    def reset(self, reason: str) -> None:
        """Returns to the cold window; does nothing if nothing was recorded.

        Args:
            reason: Evidence that the server has restarted, for the log.
        """
        if self._size is None and not self._sample_count:
            return
        logs.LOG.info(
            'concurrency window reset from %d to the cold window: %s',
            self.size,
            reason,
        )
        self._size = None
        self._consecutive_jumps = 0
        self._sample_count = 0
        self._last_shrink_at = clock.now()
        self.reset_count += 1

    def record_first_token(self, started_at: float, seconds: float) -> None:
        """Records a time to first token; shrinks the window if above target.

        Args:
            started_at: Monotonic time in seconds when the attempt started.
            seconds: Time to first token.
        """
        if seconds > self._target_seconds:
            if started_at >= self._last_shrink_at:
                self._size = max(1.0, self.size * SHRINK_FACTOR)
                self._last_shrink_at = clock.now()
            if self._record_jump(seconds):
                return
        else:
            self._consecutive_jumps = 0
        if not self._sample_count:
            self.baseline_first_token_seconds = seconds
        self._sample_count += 1
        self.baseline_first_token_seconds += BASELINE_SMOOTHING_FACTOR * (
            seconds - self.baseline_first_token_seconds
        )

    def record_end(
        self, started_at: float, seconds: float, was_full: bool
    ) -> None:
        """Records a complete response; grows the window if within target.

        Args:
            started_at: Monotonic time in seconds when the attempt started.
            seconds: Time to first token.
            was_full: Whether the attempt took the last free slot.
        """
        if (
            seconds <= self._target_seconds
            and was_full
            and (started_at >= self._last_shrink_at)
        ):
            self._size = min(self.size + 1, self._get_limits()[1])

    def _record_jump(self, seconds: float) -> bool:
        """Counts a jump and resets the window after several in a row.

        Returns:
            Whether the time is a jump, which is left out of the baseline.
        """
        threshold = JUMP_RATIO * max(
            self.baseline_first_token_seconds, self._target_seconds / 2
        )
        if self._sample_count < MIN_BASELINE_SAMPLES or seconds < threshold:
            return False
        self._consecutive_jumps += 1
        if self._consecutive_jumps >= RESTART_JUMP_COUNT:
            self.reset('time to first token far above its baseline')
        return True
