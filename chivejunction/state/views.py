"""The configuration that a process currently applies."""

import time

import anyio

from chivejunction import errors
from chivejunction.protocol import deltas
from chivejunction.protocol import resources


class ConfigView:
    """Newest configuration known to this process, with its indexes.

    The revision never decreases. ``apply`` replaces the document and wakes
    the tasks that wait for a change. ``is_starting`` is set during startup,
    until the configuration is current or enough gateways agree with it.
    """

    def __init__(self):
        self.document = resources.Document()
        self.digest = 0
        self.is_starting = False
        self._highest_revision = 0
        self._digester = deltas.Digester()
        self._parsed: dict[str, tuple[dict, resources.Resource]] = {}
        self._changed = anyio.Event()
        self._build_indexes()

    @property
    def revision(self) -> int:
        """Revision of the applied document; 0 before the first one."""
        return self.document.revision

    @property
    def is_ready(self) -> bool:
        """Whether the process may accept work under this configuration."""
        return self.revision > 0 and not self.is_starting

    def check_ready(self) -> None:
        """Refuses work while no confirmed configuration is applied.

        Raises:
            RefusalError: The process is not ready.
        """
        if not self.is_ready:
            raise errors.RefusalError(
                'not_ready', 'this process has no configuration yet'
            )

    def apply(self, document: resources.Document) -> bool:
        """Applies a document if its revision is above the applied one.

        Returns:
            Whether the view changed.

        Raises:
            InvariantViolation: The applied revision has decreased.
        """
        if document.revision <= self.revision:
            self._check_revision()
            return False
        self._replace(document, self._digester.compute(document))
        return True

    def apply_delta(self, delta: dict) -> bool:
        """Applies the changes since the applied revision.

        Returns:
            Whether the view changed.

        Raises:
            ProtocolError: The delta starts at another revision, or the
                digest of the result is not that of the sender's document.
            InvariantViolation: The applied revision has decreased.
        """
        revision = delta.get('revision')
        if not isinstance(revision, int):
            raise errors.ProtocolError('delta has no revision')
        if revision <= self.revision:
            return False
        document = deltas.apply_delta(self.document, delta)
        digest = self._digester.compute(document)
        if digest != delta.get('digest'):
            raise errors.ProtocolError(
                f'delta to revision {document.revision} gives another digest'
            )
        self._replace(document, digest)
        return True

    def check_digest(self, revision: int, digest: int) -> None:
        """Checks that a revision has the same content everywhere.

        Args:
            revision: Revision of a peer or of the store.
            digest: Digest of its document.

        Raises:
            InvariantViolation: The revision is the applied one, but its
                document differs.
        """
        if revision == self.revision and digest != self.digest:
            raise errors.InvariantViolation(
                'config_in_force',
                f'revision {revision} has digest {digest} elsewhere, '
                f'{self.digest} here',
            )

    def _replace(self, document: resources.Document, digest: int) -> None:
        self.document = document
        self.digest = digest
        self._check_revision()
        self._highest_revision = self.revision
        self._build_indexes()
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _check_revision(self) -> None:
        if self.revision < self._highest_revision:
            raise errors.InvariantViolation(
                'config_in_force',
                f'applied revision decreased from {self._highest_revision} to '
                f'{self.revision}',
            )

    async def wait_newer(self, revision: int) -> None:
        """Waits until the applied revision is above the given one."""
        while self.revision <= revision:
            await self._changed.wait()

    def _parse_resource(
        self, key: str, cls, value: dict
    ) -> resources.Resource:
        previous = self._parsed.get(key)
        # Reuse unchanged resources: validating all of them again would delay
        # requests.
        if previous is not None and (
            previous[0] is value or previous[0] == value
        ):
            return previous[1]
        return cls.model_validate(value)

    def _build_indexes(self) -> None:
        parsed = {
            kind: {
                name: self._parse_resource(f'{kind}/{name}', cls, value)
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
        """Returns the organisation of an API key, None if it is unknown."""
        return self.organisation_by_key.get(resources.hash_key(key))

    def is_allowed(self, organisation: str, version: str) -> bool:
        """Returns whether an organisation may use a model version.

        Args:
            organisation: Name of the organisation.
            version: Name of the version.
        """
        caller = self.organisations.get(organisation)
        target = self.versions.get(version)
        if (
            caller is None
            or target is None
            or version in caller.denied_versions
        ):
            return False
        return target.model in caller.models or version in caller.versions

    def accepts_new_work(
        self, version: str, has_session: bool = False
    ) -> bool:
        """Returns whether a version may serve a new request.

        Args:
            version: Name of the version.
            has_session: Whether the request belongs to a session that is
                pinned to the version.
        """
        resource = self.versions.get(version)
        if (
            resource is None
            or resource.state is resources.VersionState.WITHDRAWN
        ):
            return False
        if resource.state is resources.VersionState.ACTIVE:
            return True
        is_before_deadline = (
            resource.drain_deadline is None
            or time.time() < resource.drain_deadline
        )
        return has_session and is_before_deadline

    def is_domain_open(self, failure_domain: str) -> bool:
        """Returns whether a failure domain accepts new work."""
        resource = self.failure_domains.get(failure_domain)
        return resource is None or resource.state == 'open'

    def get_region(self, failure_domain: str) -> str:
        """Returns the region of a failure domain.

        A failure domain that is not configured counts as its own region.
        """
        resource = self.failure_domains.get(failure_domain)
        return resource.region if resource else failure_domain
