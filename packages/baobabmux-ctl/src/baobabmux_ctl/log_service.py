"""Client of the log service: appends and reads records of a stream."""

from typing import Any

import msgspec

from baobabmux_core import streams
from baobabmux_ctl import transport

_PAGE_RECORDS = 1000


class RefusedError(Exception):
    """The log service certainly did not append, or did not answer a read."""


class UncertainError(Exception):
    """The record may or may not have been appended."""


class LogService:
    """One log service.

    Attributes:
        address: Its address.
    """

    def __init__(self, address: transport.Address):
        self.address = address

    def append(self, stream: str, record: Any) -> int:
        """Appends a record.

        Returns:
            Its offset.

        Raises:
            RefusedError: The record was not appended.
            UncertainError: The fate of the record is unknown.
        """
        try:
            answer = transport.call(
                self.address,
                "POST",
                f"/streams/{stream}/records",
                msgspec.json.encode(record),
            )
        except transport.NotSentError as error:
            raise RefusedError(str(error)) from error
        except transport.AnswerLostError as error:
            raise UncertainError(str(error)) from error
        if answer.status == 429:
            raise RefusedError("it limits the rate of appends")
        try:
            if answer.status in (200, 201):
                return int(msgspec.json.decode(answer.body)["offset"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            pass
        # Any other answer does not prove that nothing was appended.
        raise UncertainError(f"it answered {answer.status}")

    def read(self, stream: str, start: int) -> streams.Page:
        """Reads the records from an offset on, at most one page.

        Raises:
            RefusedError: The log service did not answer.
        """
        target = f"/streams/{stream}/records?from={start}&limit={_PAGE_RECORDS}"
        try:
            answer = transport.call(self.address, "GET", target)
            if answer.status != 200:
                raise RefusedError(f"it answered {answer.status}")
            return msgspec.json.decode(answer.body, type=streams.Page)
        except (transport.NotSentError, transport.AnswerLostError) as error:
            raise RefusedError(str(error)) from error
        except msgspec.DecodeError as error:
            raise RefusedError(f"it sent a bad answer: {error}") from error
