"""Registry of named implementations, filled by a decorator."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

T = TypeVar('T')


class Registry(Generic[T]):
    """Named implementations of one kind.

    Args:
        kind: What the entries are; used in error messages.
    """

    def __init__(self, kind: str):
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its target under a name.

        The decorator raises ValueError if the name is already registered.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f'{self.kind} {name} is registered twice')
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Returns the entry with a name.

        Raises:
            KeyError: No entry has this name; the message lists all names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ', '.join(sorted(self._entries))
            raise KeyError(
                f'unknown {self.kind} {name!r}; known: {known}'
            ) from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._entries))

    def __contains__(self, name: str) -> bool:
        return name in self._entries
