"""Loads modules of test folders, which are no packages."""

import importlib.util
import pathlib
import types


def load(path: pathlib.Path, name: str) -> types.ModuleType:
    """Loads a new copy of a module.

    Args:
        path: File of the module.
        name: Name of the copy. It is not added to `sys.modules`.
    """
    spec = importlib.util.spec_from_file_location(name, path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module
