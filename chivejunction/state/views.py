"""The configuration that a process applies at present."""

import time

import anyio

from chivejunction import errors
from chivejunction.protocol import resources


class ConfigView:
    """Newest configuration known to this process, with its indexes.

    The revision never falls. ``apply`` replaces the document and wakes all
    that wait for a change.
    """

    def __init__(self):
        self.document = resources.Document()
        self._changed = anyio.Event()
        self._index()

    @property
    def revision(self) -> int:
        """Revision of the applied document; 0 before the first one."""
        return self.document.revision

    def apply(self, document: resources.Document) -> bool:
        """Applies a document unless it is older than the present one.

        Returns:
            Whether the view changed.
        """
        if document.revision <= self.revision:
            return False
        before = self.revision
        self.document = document
        self._index()
        if self.revision < before:
            raise errors.InvariantViolation(
                'config_in_force', f'revision fell from {before}'
            )
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
        return True

    async def wait_newer(self, revision: int) -> None:
        """Waits until the applied revision is above a revision."""
        while self.revision <= revision:
            await self._changed.wait()

    def _index(self) -> None:
        parsed = {
            kind: {
                name: cls.model_validate(value)
                for name, value in self.document.resources.get(
                    kind, {}
                ).items()
            }
            for kind, cls in resources.KINDS.items()
        }
        self.organisations = parsed['organisation']
        self.models = parsed['model']
        self.versions = parsed['modelversion']
        self.services = parsed['service']
        self.pools = parsed['pool']
        self.cascades = parsed['cascade']
        self.rollouts = parsed['rollout']
        self.failure_domains = parsed['failuredomain']
        self.limits = parsed['limit']
        self.organisation_by_key = {
            key_hash: organisation
            for organisation in self.organisations.values()
            for key_hash in organisation.key_hashes
        }
        self.versions_by_model: dict[str, list] = {}
        for version in self.versions.values():
            self.versions_by_model.setdefault(version.model, []).append(
                version
            )

    def authenticate(self, key: str) -> resources.Organisation | None:
        """Returns the organisation of a credential, or None."""
        return self.organisation_by_key.get(resources.hash_key(key))

    def is_allowed(self, organisation: str, version: str) -> bool:
        """Tells whether an organisation may use a version."""
        who = self.organisations.get(organisation)
        what = self.versions.get(version)
        if who is None or what is None or version in who.denied_versions:
            return False
        return what.model in who.models or version in who.versions

    def takes_new_work(self, version: str, has_session: bool = False) -> bool:
        """Tells whether a version takes a new request.

        Args:
            version: Name of the version.
            has_session: Whether the request belongs to a session that is
                pinned to the version.
        """
        found = self.versions.get(version)
        if found is None or found.state is resources.VersionState.WITHDRAWN:
            return False
        if found.state is resources.VersionState.ACTIVE:
            return True
        before_deadline = (
            found.drain_deadline is None or time.time() < found.drain_deadline
        )
        return has_session and before_deadline

    def is_open(self, failure_domain: str) -> bool:
        """Tells whether a failure domain takes new work."""
        found = self.failure_domains.get(failure_domain)
        return found is None or found.state == 'open'

    def region_of(self, failure_domain: str) -> str:
        """Returns the region of a failure domain, its own name if unknown."""
        found = self.failure_domains.get(failure_domain)
        return found.region if found else failure_domain
