"""Client of the platform's log service, which stores append-only streams."""

from typing import Any

import msgspec

from baobabmux_core import ids, streams
from baobabmux_node import client

_APPEND_TIMEOUT_SECONDS = 3.0
_READ_TIMEOUT_SECONDS = 5.0


class _Appended(msgspec.Struct, frozen=True):
    offset: int


class LogError(Exception):
    """The log service is unreachable or refused the call."""


class LogService:
    """Appends to streams and reads them.

    Attributes:
        address: IP number and port of the log service.
        reachable: Whether the last call succeeded.
        appends: Number of attempted appends.
    """

    def __init__(self, address: str):
        self.address = address
        self.reachable = False
        self.appends = 0

    async def append(self, stream: str, record: Any) -> ids.Offset | None:
        """Appends a record.

        Args:
            stream: Name of the stream.
            record: Value that JSON can represent.

        Returns:
            The offset, or None if it is unknown whether the record was
            appended.

        Raises:
            LogError: The record was certainly not appended.
        """
        self.appends += 1
        try:
            status, body = await client.fetch(
                self.address,
                "POST",
                f"/streams/{stream}/records",
                msgspec.json.encode(record),
                timeout=_APPEND_TIMEOUT_SECONDS,
            )
        except client.ConnectError as error:
            self.reachable = False
            raise LogError(str(error)) from error
        except client.ClientError:
            self.reachable = False
            return None
        if status == 429:
            raise LogError(
                "the log service limits the rate of appends (status 429)"
            )
        if status != 201:
            # An error answer does not prove that nothing was appended.
            self.reachable = False
            return None
        self.reachable = True
        try:
            appended = msgspec.json.decode(body, type=_Appended)
        except msgspec.DecodeError:
            return None
        return ids.Offset(appended.offset)

    async def read(
        self, stream: str, start: int, *, wait: float = 0.0, limit: int = 500
    ) -> streams.Page:
        """Reads records.

        Args:
            stream: Name of the stream.
            start: Offset of the first record to read.
            wait: Seconds that the service may wait for a new record.
            limit: Most records to return.

        Returns:
            A page of records, empty if there are no new ones.

        Raises:
            LogError: The log service is unreachable or sent no valid page.
        """
        target = (
            f"/streams/{stream}/records"
            f"?from={max(start, 0)}&limit={limit}&wait={wait:g}"
        )
        try:
            status, body = await client.fetch(
                self.address,
                "GET",
                target,
                timeout=wait + _READ_TIMEOUT_SECONDS,
                max_bytes=64_000_000,
            )
            if status != 200:
                raise LogError(f"the log service answered with status {status}")
            page = msgspec.json.decode(body, type=streams.Page)
        except (client.ClientError, msgspec.DecodeError) as error:
            self.reachable = False
            raise LogError(str(error)) from error
        except LogError:
            self.reachable = False
            raise
        self.reachable = True
        return page
