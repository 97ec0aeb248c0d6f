"""Compresses configurations that are sent between nodes.

Routes resemble each other, so that a large configuration needs a tenth of its
size on links that also carry the requests of callers.
"""

import functools
import zlib

import msgspec

from baobabmux_core import messages

_LEVEL = 6
# A peer's record that unpacks to more is malformed.
_MAX_RECORD_BYTES = 16_000_000


class PackedRecordError(ValueError):
    """A packed record is malformed or too large."""


def pack(state: messages.ConfigState) -> messages.ConfigState:
    """Returns a message with the compressed record of another one."""
    return msgspec.structs.replace(
        state, snapshot=b"", packed=_compress(state.snapshot)
    )


def unpack(state: messages.ConfigState) -> messages.ConfigState:
    """Returns a message with its record as `snapshot`.

    Raises:
        PackedRecordError: The record is malformed or too large.
    """
    if not state.packed:
        return state
    decoder = zlib.decompressobj()
    try:
        record = decoder.decompress(state.packed, _MAX_RECORD_BYTES)
    except zlib.error as error:
        raise PackedRecordError(str(error)) from error
    if not decoder.eof:
        raise PackedRecordError(
            f"incomplete, or longer than {_MAX_RECORD_BYTES} bytes"
        )
    return msgspec.structs.replace(state, snapshot=record, packed=b"")


# Many peers ask for the same version.
@functools.lru_cache(maxsize=1)
def _compress(record: bytes) -> bytes:
    return zlib.compress(record, _LEVEL)
