"""Verdicts on whether a request may have run."""

import enum


class Verdict(enum.IntEnum):
    """Whether a request may have run on a backend server."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2

    @property
    def label(self) -> str:
        """Name used in responses to callers, for example ``not_run``."""
        return self.name.lower()

    def allows_retry(self, idempotent: bool) -> bool:
        """Returns whether another attempt may be made.

        Args:
            idempotent: Whether the request is safe to run more than once.
        """
        return idempotent or self is Verdict.NOT_RUN
