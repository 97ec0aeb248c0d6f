"""Starts the node from the checkout, without installing its packages."""

import gc
import pathlib
import sys

# Nothing that is imported becomes garbage; the node enables it again.
gc.disable()

_ROOT = pathlib.Path(__file__).resolve().parent.parent
for _source in (
    "packages/baobabmux-core/src",
    "packages/baobabmux-node/src",
    "platform/src",
):
    sys.path.insert(0, str(_ROOT / _source))

from baobabmux_platform import main  # noqa: E402

main.run()
