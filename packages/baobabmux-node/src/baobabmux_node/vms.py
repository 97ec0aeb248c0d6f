"""Client of the platform's VM list."""

import msgspec

from baobabmux_core import ids, membership
from baobabmux_node import client

_FETCH_TIMEOUT_SECONDS = 3.0
_MAX_ANSWER_BYTES = 8_000_000


class VmList(msgspec.Struct, frozen=True):
    """The VM list at one point in time.

    Attributes:
        as_of_ms: Unix time in milliseconds that the list describes.
        vms: Live and leaving VMs.
    """

    as_of_ms: int
    vms: list[membership.VmEntry]


class VmListClient:
    """Reads the VM list with conditional requests.

    An unchanged list is answered with status 304 and without a body.

    Attributes:
        address: IP number and port of the VM list.
        data_centre: Data centre that is named as the viewer of the list.
    """

    def __init__(self, address: str, data_centre: ids.DataCentre):
        self.address = address
        self.data_centre = data_centre
        self._etag = ""
        self._latest: VmList | None = None
        self._read_at = 0.0

    async def fetch(self, now: float) -> VmList | None:
        """Reads the list.

        Args:
            now: Time on the node's clock in seconds.

        Returns:
            The list, or None if the service is unreachable or its answer is
            not valid.
        """
        headers = {"if-none-match": self._etag} if self._etag else {}
        try:
            head, body = await client.exchange(
                self.address,
                "GET",
                f"/vms?viewer={self.data_centre}",
                headers,
                b"",
                _FETCH_TIMEOUT_SECONDS,
                _MAX_ANSWER_BYTES,
            )
            if head.status == 304:
                return self._unchanged(now)
            if head.status != 200:
                return None
            self._latest = msgspec.json.decode(body, type=VmList)
        except (client.ClientError, msgspec.DecodeError):
            return None
        self._etag = head.headers.get("etag", "")
        self._read_at = now
        return self._latest

    def _unchanged(self, now: float) -> VmList | None:
        if self._latest is None:
            return None
        # A 304 does not carry the time that it describes. The list is assumed
        # to have the same age as when it was read.
        elapsed_ms = int((now - self._read_at) * 1000)
        return VmList(self._latest.as_of_ms + elapsed_ms, self._latest.vms)
