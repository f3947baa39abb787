"""References between resources and the checks that they hold."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

Entries = dict[str, dict[str, dict]]


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """A resource that names another one.

    Attributes:
        source: ``kind/name`` of the resource that holds the name.
        field: Field that holds it.
        kinds: Kinds of which one must have a resource of this name.
        name: The name.
    """

    source: str
    field: str
    kinds: tuple[str, ...]
    name: str


# Fields that name other resources: kind -> field -> accepted kinds.
FIELDS: dict[str, dict[str, tuple[str, ...]]] = {
    'organisation': {
        'models': ('model',),
        'versions': ('modelversion',),
        'denied_versions': ('modelversion',),
        'services': ('service',),
    },
    'modelversion': {'model': ('model',), 'pool': ('pool',)},
    'service': {'pool': ('pool',)},
    'cascade': {
        'organisations': ('organisation',),
        'steps': ('modelversion', 'model'),
    },
    'rollout': {
        'model': ('model',),
        'from_version': ('modelversion',),
        'to_version': ('modelversion',),
    },
    'limit': {'organisation': ('organisation',)},
}


def list_references(entries: Entries) -> Iterator[Reference]:
    """Yields all references of a document's resources."""
    for kind, fields in FIELDS.items():
        for owner, value in entries.get(kind, {}).items():
            for field, kinds in fields.items():
                found = value.get(field) or []
                names = [found] if isinstance(found, str) else found
                for name in names:
                    yield Reference(f'{kind}/{owner}', field, kinds, name)


def find_referrers(entries: Entries, kind: str, name: str) -> list[str]:
    """Returns the ``kind/name`` of the resources that need a resource.

    A cascade step may be a version or a model; it needs this one only when
    the other kind has no resource of the name.
    """
    return sorted(
        {
            ref.source
            for ref in list_references(entries)
            if ref.name == name
            and kind in ref.kinds
            and not any(
                name in entries.get(other, {})
                for other in ref.kinds
                if other != kind
            )
        }
    )


def _find_missing(entries: Entries) -> Iterator[str]:
    for ref in list_references(entries):
        if not any(ref.name in entries.get(k, {}) for k in ref.kinds):
            wanted = ' or '.join(ref.kinds)
            yield f'{ref.source}: {ref.field}: no {wanted} {ref.name}'


def _find_foreign_versions(entries: Entries) -> Iterator[str]:
    for name, value in entries.get('rollout', {}).items():
        for field in ('from_version', 'to_version'):
            version = entries.get('modelversion', {}).get(value[field])
            if version is not None and version['model'] != value['model']:
                yield (
                    f'rollout/{name}: {field}: {value[field]} is a version '
                    f'of {version["model"]}, not of {value["model"]}'
                )


CHECKS: tuple[Callable[[Entries], Iterator[str]], ...] = (
    _find_missing,
    _find_foreign_versions,
)


def find_problems(entries: Entries) -> list[str]:
    """Returns what is wrong between the resources, one text for each."""
    return [problem for check in CHECKS for problem in check(entries)]
