"""Verdicts that say whether a request may have run."""

import enum


class Verdict(enum.IntEnum):
    """Whether a request may have run on a backend server."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2

    @property
    def label(self) -> str:
        """Name used in answers to callers, for example ``not_run``."""
        return self.name.lower()

    def allows_retry(self, idempotent: bool) -> bool:
        """Tells whether another attempt may be made.

        Args:
            idempotent: Whether the request may run more than once.
        """
        return idempotent or self is Verdict.NOT_RUN
