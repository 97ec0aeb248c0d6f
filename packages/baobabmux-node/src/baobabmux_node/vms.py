"""Client of the platform's VM list."""

import msgspec

from baobabmux_core import membership
from baobabmux_node import client


class VmList(msgspec.Struct, frozen=True):
    """The VM list at a time.

    Attributes:
        as_of_ms: Unix time in milliseconds that the list describes.
        vms: Live and leaving VMs.
    """

    as_of_ms: int
    vms: list[membership.VmEntry]


async def fetch(address: str, data_centre: str) -> VmList | None:
    """Fetches the VM list.

    Args:
        address: IP number and port of the VM list.
        data_centre: Data centre that asks.

    Returns:
        The list, or None if it is out of reach or malformed.
    """
    try:
        status, body = await client.fetch(
            address, "GET", f"/vms?viewer={data_centre}", timeout=3.0
        )
        if status != 200:
            return None
        return msgspec.json.decode(body, type=VmList)
    except (client.ClientError, msgspec.DecodeError):
        return None
