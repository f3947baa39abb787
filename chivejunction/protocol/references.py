"""References between resources and checks of their consistency."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

ResourcesByKind = dict[str, dict[str, dict]]


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """A reference from a resource to another one by name.

    Attributes:
        source: ``kind/name`` of the resource that contains the reference.
        field: Field that contains it.
        kinds: Kinds that the referenced resource may have.
        name: Name of the referenced resource.
    """

    source: str
    field: str
    kinds: tuple[str, ...]
    name: str


# Fields that refer to other resources: kind -> field -> accepted kinds.
REFERENCE_FIELDS: dict[str, dict[str, tuple[str, ...]]] = {
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


def list_references(resources: ResourcesByKind) -> Iterator[Reference]:
    """Yields all references between the resources of a document."""
    for kind, fields in REFERENCE_FIELDS.items():
        for source_name, value in resources.get(kind, {}).items():
            for field, kinds in fields.items():
                names = value.get(field) or []
                names = [names] if isinstance(names, str) else names
                for name in names:
                    yield Reference(
                        f'{kind}/{source_name}', field, kinds, name
                    )


def find_referrers(
    resources: ResourcesByKind, kind: str, name: str
) -> list[str]:
    """Returns the ``kind/name`` of the resources that depend on a resource.

    A cascade step may be a version or a model. It depends on a resource of
    one kind only if the other kind has no resource of the same name.
    """
    return sorted(
        {
            ref.source
            for ref in list_references(resources)
            if ref.name == name
            and kind in ref.kinds
            and not any(
                name in resources.get(other, {})
                for other in ref.kinds
                if other != kind
            )
        }
    )


def _find_missing_targets(resources: ResourcesByKind) -> Iterator[str]:
    """Yields an error for each reference to a missing resource."""
    for ref in list_references(resources):
        if not any(ref.name in resources.get(k, {}) for k in ref.kinds):
            expected = ' or '.join(ref.kinds)
            yield f'{ref.source}: {ref.field}: no {expected} {ref.name}'


def _find_version_mismatches(resources: ResourcesByKind) -> Iterator[str]:
    """Yields an error for each roll-out to or from another model's version."""
    for name, value in resources.get('rollout', {}).items():
        for field in ('from_version', 'to_version'):
            version = resources.get('modelversion', {}).get(value[field])
            if version is not None and version['model'] != value['model']:
                yield (
                    f'rollout/{name}: {field}: {value[field]} is a version '
                    f'of {version["model"]}, not of {value["model"]}'
                )


CHECKS: tuple[Callable[[ResourcesByKind], Iterator[str]], ...] = (
    _find_missing_targets,
    _find_version_mismatches,
)


def find_reference_errors(resources: ResourcesByKind) -> list[str]:
    """Returns a message for each inconsistency between resources."""
    return [problem for check in CHECKS for problem in check(resources)]
