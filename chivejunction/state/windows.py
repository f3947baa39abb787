"""Concurrency window of a backend server that may have just started."""

from collections.abc import Callable

from chivejunction import clock
from chivejunction import logs

SHRINK_SHARE = 0.7
# One slow answer may be a long prompt; several in a row are a restart.
JUMP_COUNT = 3
JUMP_RATIO = 4.0
BASELINE_SAMPLES = 10
BASELINE_SHARE = 0.1


class SlowStartWindow:
    """Window that grows on good and shrinks on bad time to first token.

    It starts at the pool's cold window. Each whole answer with a good time
    to first token that ran while the window was full adds one, up to the
    warm window. A bad time shrinks it, at most once for the attempts that
    were running together.

    Args:
        target: Longest good time to first token in seconds.
        get_limits: Returns cold and warm window of the pool.
    """

    def __init__(
        self, target: float, get_limits: Callable[[], tuple[int, int]]
    ):
        self._target = target
        self._get_limits = get_limits
        self._size: float | None = None
        self._shrunk_at = 0.0
        self._jumps = 0
        self._samples = 0
        self.first_token = 0.0
        self.resets = 0

    @property
    def size(self) -> int:
        """Requests that may run at the same time."""
        cold, warm = self._get_limits()
        size = cold if self._size is None else self._size
        return max(1, int(min(size, warm)))

    def reset(self, reason: str) -> None:
        """Returns to the cold window.

        Args:
            reason: What showed that the server has started anew.
        """
        if self._size is None and not self._samples:
            return
        logs.LOG.info(
            'slow start begins again at window %d: %s', self.size, reason
        )
        self._size = None
        self._jumps = 0
        self._samples = 0
        self._shrunk_at = clock.now()
        self.resets += 1

    def record_first_token(self, started: float, seconds: float) -> None:
        """Records a time to first token; shrinks the window if it is bad.

        Args:
            started: Monotonic time at which the attempt started.
            seconds: Time to first token.
        """
        if seconds > self._target:
            if started >= self._shrunk_at:
                self._size = max(1.0, self.size * SHRINK_SHARE)
                self._shrunk_at = clock.now()
            if self._is_jump(seconds):
                return
        else:
            self._jumps = 0
        if not self._samples:
            self.first_token = seconds
        self._samples += 1
        self.first_token += BASELINE_SHARE * (seconds - self.first_token)

    def record_end(
        self, started: float, seconds: float, was_full: bool
    ) -> None:
        """Records a whole answer; grows the window if it was good.

        Args:
            started: Monotonic time at which the attempt started.
            seconds: Time to first token.
            was_full: Whether the attempt took the last free place.
        """
        if (
            seconds <= self._target
            and was_full
            and (started >= self._shrunk_at)
        ):
            self._size = min(self.size + 1, self._get_limits()[1])

    def _is_jump(self, seconds: float) -> bool:
        jump = JUMP_RATIO * max(self.first_token, self._target / 2)
        if self._samples < BASELINE_SAMPLES or seconds < jump:
            return False
        self._jumps += 1
        if self._jumps >= JUMP_COUNT:
            self.reset('time to first token jumped')
        return True
