"""Client of the log service: appends and reads records of a stream."""

from typing import Any

import msgspec

from baobabmux_core import streams
from baobabmux_ctl import transport

_PAGE_RECORDS = 1000


class NoEffectError(Exception):
    """The call had no effect: a record was not appended or a read failed."""


class UncertainError(Exception):
    """The record may or may not have been appended."""


class LogService:
    """Client of one log service.

    Attributes:
        address: Address of the log service.
    """

    def __init__(self, address: transport.Address):
        self.address = address

    def append(self, stream: str, record: Any) -> int:
        """Appends a record.

        Returns:
            The offset of the record.

        Raises:
            NoEffectError: The record was not appended.
            UncertainError: It is unknown whether the record was appended.
        """
        try:
            answer = transport.call(
                self.address,
                "POST",
                f"/streams/{stream}/records",
                msgspec.json.encode(record),
            )
        except transport.NotSentError as error:
            raise NoEffectError(str(error)) from error
        except transport.AnswerLostError as error:
            raise UncertainError(str(error)) from error
        if answer.status == 429:
            raise NoEffectError(
                "it rejected the append because of its rate limit"
            )
        try:
            if answer.status in (200, 201):
                return int(msgspec.json.decode(answer.body)["offset"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            pass
        # Other answers do not rule out that the record was appended.
        raise UncertainError(f"it answered {answer.status}")

    def read(self, stream: str, start: int) -> streams.Page:
        """Reads one page of records, starting at an offset.

        Raises:
            NoEffectError: The log service did not answer as expected.
        """
        target = f"/streams/{stream}/records?from={start}&limit={_PAGE_RECORDS}"
        try:
            answer = transport.call(self.address, "GET", target)
            if answer.status != 200:
                raise NoEffectError(f"it answered {answer.status}")
            return msgspec.json.decode(answer.body, type=streams.Page)
        except (transport.NotSentError, transport.AnswerLostError) as error:
            raise NoEffectError(str(error)) from error
        except msgspec.DecodeError as error:
            raise NoEffectError(f"it sent a bad answer: {error}") from error
