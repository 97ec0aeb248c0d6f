"""Client of the platform's VM list."""

import msgspec

from baobabmux_core import ids, membership
from baobabmux_node import client

_TIMEOUT_SECONDS = 3.0
_MAX_BYTES = 8_000_000


class VmList(msgspec.Struct, frozen=True):
    """The VM list at a time.

    Attributes:
        as_of_ms: Unix time in milliseconds that the list describes.
        vms: Live and leaving VMs.
    """

    as_of_ms: int
    vms: list[membership.VmEntry]


class VmListClient:
    """Reads the VM list; an unchanged list costs a short answer only.

    Attributes:
        address: IP number and port of the VM list.
        data_centre: Data centre that asks.
    """

    def __init__(self, address: str, data_centre: ids.DataCentre):
        self.address = address
        self.data_centre = data_centre
        self._tag = ""
        self._latest: VmList | None = None
        self._read_at = 0.0

    async def fetch(self, now: float) -> VmList | None:
        """Reads the list.

        Args:
            now: Time on the node's clock in seconds.

        Returns:
            The list, or None if it is out of reach or malformed.
        """
        headers = {"if-none-match": self._tag} if self._tag else {}
        try:
            head, body = await client.exchange(
                self.address,
                "GET",
                f"/vms?viewer={self.data_centre}",
                headers,
                b"",
                _TIMEOUT_SECONDS,
                _MAX_BYTES,
            )
            if head.status == 304:
                return self._unchanged(now)
            if head.status != 200:
                return None
            self._latest = msgspec.json.decode(body, type=VmList)
        except (client.ClientError, msgspec.DecodeError):
            return None
        self._tag = head.headers.get("etag", "")
        self._read_at = now
        return self._latest

    def _unchanged(self, now: float) -> VmList | None:
        if self._latest is None:
            return None
        # The answer does not say its age; the list is as fresh as before.
        elapsed_ms = int((now - self._read_at) * 1000)
        return VmList(self._latest.as_of_ms + elapsed_ms, self._latest.vms)
