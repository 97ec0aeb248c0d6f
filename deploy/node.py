"""Starts the node from the checkout, without installing its packages."""

import gc
import os
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

# A deployment that hedges slow requests has this file.
_HEDGING = pathlib.Path(__file__).with_name("hedging.toml")
if _HEDGING.exists():
    os.environ.setdefault("BAOBABMUX_HEDGING", str(_HEDGING))

from baobabmux_platform import main  # noqa: E402

main.run()
