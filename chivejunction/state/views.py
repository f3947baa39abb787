"""The configuration that a process applies at present."""

import time

import anyio

from chivejunction import errors
from chivejunction.protocol import deltas
from chivejunction.protocol import resources


class ConfigView:
    """Newest configuration known to this process, with its indexes.

    The revision never falls. ``apply`` replaces the document and wakes all
    that wait for a change. ``is_starting`` is set while a process that has
    just started does not know enough to serve.
    """

    def __init__(self):
        self.document = resources.Document()
        self.digest = 0
        self.is_starting = False
        self._floor = 0
        self._digester = deltas.Digester()
        self._parsed: dict[str, tuple[dict, resources.Resource]] = {}
        self._changed = anyio.Event()
        self._index()

    @property
    def revision(self) -> int:
        """Revision of the applied document; 0 before the first one."""
        return self.document.revision

    @property
    def is_ready(self) -> bool:
        """Whether work may be taken under this configuration."""
        return self.revision > 0 and not self.is_starting

    def check_ready(self) -> None:
        """Refuses work while there is no configuration to judge it by.

        Raises:
            RefusalError: The process is not ready.
        """
        if not self.is_ready:
            raise errors.RefusalError(
                'not_ready', 'this process has no configuration yet'
            )

    def apply(self, document: resources.Document) -> bool:
        """Applies a document unless it is older than the present one.

        Returns:
            Whether the view changed.

        Raises:
            InvariantViolation: The applied revision has fallen.
        """
        if document.revision <= self.revision:
            self._check_floor()
            return False
        self._replace(document, self._digester.compute(document))
        return True

    def apply_delta(self, delta: dict) -> bool:
        """Applies the changes since the present revision.

        Returns:
            Whether the view changed.

        Raises:
            ProtocolError: The delta starts at another revision, or the
                result is not the sender's document.
            InvariantViolation: The applied revision has fallen.
        """
        if delta['revision'] <= self.revision:
            return False
        document = deltas.apply_delta(self.document, delta)
        digest = self._digester.compute(document)
        if digest != delta['digest']:
            raise errors.ProtocolError(
                f'delta to revision {document.revision} gives another digest'
            )
        self._replace(document, digest)
        return True

    def check_digest(self, revision: int, digest: int) -> None:
        """Compares the content of a peer's revision with the own one.

        Raises:
            InvariantViolation: Two documents have the same revision.
        """
        if revision == self.revision and digest != self.digest:
            raise errors.InvariantViolation(
                'config_in_force', f'revision {revision} has two contents'
            )

    def _replace(self, document: resources.Document, digest: int) -> None:
        self.document = document
        self.digest = digest
        self._check_floor()
        self._floor = self.revision
        self._index()
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _check_floor(self) -> None:
        if self.revision < self._floor:
            raise errors.InvariantViolation(
                'config_in_force',
                f'revision fell from {self._floor} to {self.revision}',
            )

    async def wait_newer(self, revision: int) -> None:
        """Waits until the applied revision is above a revision."""
        while self.revision <= revision:
            await self._changed.wait()

    def _parse(self, key: str, cls, value: dict) -> resources.Resource:
        old = self._parsed.get(key)
        # Validation of an unchanged resource would hold up requests.
        if old is not None and (old[0] is value or old[0] == value):
            return old[1]
        return cls.model_validate(value)

    def _index(self) -> None:
        parsed = {
            kind: {
                name: self._parse(f'{kind}/{name}', cls, value)
                for name, value in self.document.resources.get(
                    kind, {}
                ).items()
            }
            for kind, cls in resources.KINDS.items()
        }
        self._parsed = {
            f'{kind}/{name}': (
                self.document.resources[kind][name],
                resource,
            )
            for kind, entries in parsed.items()
            for name, resource in entries.items()
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
