"""Registries that decorators fill, for behaviour that varies by name."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from masticdeck.errors import SettingsInvalid

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind.

    >>> policies: Registry[type] = Registry("policy")
    >>> @policies.register("least-loaded")
    ... class LeastLoaded:
    ...     pass
    >>> policies.get("least-loaded") is LeastLoaded
    True
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that files its argument under ``name``."""

        def add(item: T) -> T:
            if name in self.items:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Return the implementation, or raise SettingsInvalid with the choices."""
        try:
            return self.items[name]
        except KeyError:
            known = ", ".join(sorted(self.items))
            raise SettingsInvalid(
                f"{self.kind} {name!r} is not one of {known}"
            ) from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.items))
