"""Defers modules that libraries import and a node uses rarely or never.

A deferred module is loaded when one of its missing attributes is first read.
`importlib.util.LazyLoader` loads a module already at the second statement that
imports it.
"""

import importlib.machinery
import sys
import threading
from collections.abc import Iterable, Sequence
from types import ModuleType

# Imported as whole modules by curio, pynng and others, or by this package; a
# node on a platform that serves requests calls none of them.
RARELY_USED = frozenset(
    {
        "asyncio",
        "eliot",
        "expression",
        "gzip",
        "multiprocessing",
        "pdb",
        "pickle",
        "subprocess",
        "tempfile",
    }
)

_LOCK = threading.RLock()


class _DeferredModule(ModuleType):
    """A module that has not been executed."""

    def __getattr__(self, name: str):
        with _LOCK:
            if type(self) is _DeferredModule:
                self.__dict__["__spec__"].loader.load(self)
        return getattr(self, name)


class _LoadingModule(ModuleType):
    """A module that is being executed; other threads wait for its end."""

    def __getattr__(self, name: str):
        with _LOCK:
            if type(self) is _LoadingModule:
                raise AttributeError(
                    f"module {self.__name__!r} has no attribute {name!r}"
                )
        return getattr(self, name)


class _DeferringLoader:
    """Executes a module on the first use of one of its attributes."""

    def __init__(self, loader):
        self._loader = loader

    def create_module(self, spec):
        return self._loader.create_module(spec)

    def exec_module(self, module: ModuleType) -> None:
        module.__class__ = _DeferredModule

    def load(self, module: ModuleType) -> None:
        module.__spec__.loader = module.__loader__ = self._loader
        module.__class__ = _LoadingModule
        self._loader.exec_module(module)
        module.__class__ = ModuleType


class _DeferringFinder:
    # A base class from importlib.abc costs more than most deferred modules.

    def __init__(self, names: Iterable[str]):
        self._names = frozenset(names)

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        if fullname not in self._names:
            return None
        spec = importlib.machinery.PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = _DeferringLoader(spec.loader)
        return spec


def defer(names: Iterable[str] = RARELY_USED) -> None:
    """Defers modules that have not been imported yet."""
    sys.meta_path.insert(0, _DeferringFinder(names))
