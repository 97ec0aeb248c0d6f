"""Tests of modules that are imported only when they are used."""

import subprocess
import sys
import threading

from baobabmux_node import lazy_imports

_MODULE = """
import time
from {name} import part
time.sleep(0.02)
value = part.value + 1
has_other = hasattr(__import__("sys").modules[__name__], "other")
"""


def _package(folder, name):
    package = folder / name
    package.mkdir()
    (package / "__init__.py").write_text(_MODULE.format(name=name))
    (package / "part.py").write_text("value = 1\n")


def _forget(name):
    for module in [item for item in sys.modules if item.startswith(name)]:
        del sys.modules[module]


def test_module_is_executed_at_the_first_use_of_an_attribute(
    tmp_path, monkeypatch
):
    """Guards against a package that is half executed, or twice."""
    _package(tmp_path, "deferred_package")
    monkeypatch.syspath_prepend(tmp_path)
    finder = lazy_imports._DeferringFinder(["deferred_package"])
    monkeypatch.setattr(sys, "meta_path", [finder, *sys.meta_path])
    try:
        import deferred_package  # noqa: PLC0415
        import deferred_package as again  # noqa: PLC0415

        assert "value" not in vars(deferred_package)
        assert "deferred_package.part" not in sys.modules
        assert again.value == 2
        assert not deferred_package.has_other
        assert not hasattr(deferred_package, "missing")
    finally:
        _forget("deferred_package")


def test_threads_that_use_a_module_first_wait_for_one_execution(
    tmp_path, monkeypatch
):
    """Guards against a thread that sees a module that is being executed."""
    _package(tmp_path, "raced_package")
    monkeypatch.syspath_prepend(tmp_path)
    finder = lazy_imports._DeferringFinder(["raced_package"])
    monkeypatch.setattr(sys, "meta_path", [finder, *sys.meta_path])
    found = []
    try:
        import raced_package  # noqa: PLC0415

        threads = [
            threading.Thread(target=lambda: found.append(raced_package.value))
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    finally:
        _forget("raced_package")
    assert found == [2] * 8


def test_deferred_libraries_work_when_they_are_used():
    """Guards against a library that cannot be deferred."""
    code = (
        "from baobabmux_node import lazy_imports\n"
        "lazy_imports.defer()\n"
        "import asyncio, eliot, expression, pickle, subprocess, tempfile\n"
        "import multiprocessing.connection\n"
        "import curio\n"
        "assert expression.Ok(3).ok == 3\n"
        "assert pickle.loads(pickle.dumps({1: 2})) == {1: 2}\n"
        "async def one(): return 1\n"
        "assert asyncio.run(one()) == 1\n"
        "assert curio.run(curio.run_in_thread, int, '7') == 7\n"
        "eliot.log_message(message_type='x')\n"
        "with tempfile.TemporaryFile(): pass\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True)
