"""Reads what endpoints say of themselves in answers that nobody awaits.

An attempt may end before its answer begins: its caller has left, its time is
up, or its request could not be sent whole. Nothing more is sent to the
endpoint, which sees the end of the connection as if it had been closed. The
head of an answer that arrives later may still ask for a pause, name a limit or
say that the endpoint is leaving.
"""

import collections
import enum
from collections.abc import Awaitable, Callable

import curio

from baobabmux_core import ids
from baobabmux_node import client

_READ_TIMEOUT_SECONDS = 2.0
# Connections that are read at a time, in all and for one endpoint.
_MAX_READING = 64
_MAX_READING_FOR_ENDPOINT = 8

Report = Callable[[client.Head], Awaitable[None]]
"""Reports what the head of an answer says of its endpoint."""


class Outcome(enum.Enum):
    """What became of an answer that nobody awaits."""

    READ = "read"  # Its head arrived and was reported.
    ENDED = "ended"  # The connection ended without it.
    SILENT = "silent"  # It did not arrive in time.
    CLOSED = "closed"  # Others were being read, so the connection was closed.


class UnreadAnswers:
    """Reads the heads of answers in the background, a bounded number.

    Attributes:
        reading: Number of connections that are being read by endpoint.
    """

    def __init__(self):
        self.reading: collections.Counter[ids.EndpointId] = (
            collections.Counter()
        )
        self._is_closed = False

    def close(self) -> None:
        """Takes over no further connection, as the node ends."""
        self._is_closed = True

    async def take(
        self,
        endpoint: ids.EndpointId,
        connection: client.ClientConnection,
        report: Report,
        ended: Callable[[Outcome], None],
    ) -> None:
        """Takes over a connection; does not wait for the answer.

        Args:
            endpoint: The endpoint.
            connection: Its connection, which no other task uses any more.
            report: Called with the head of the answer, if it arrives.
            ended: Called after the connection was closed.
        """
        if (
            self._is_closed
            or self.reading.total() >= _MAX_READING
            or self.reading[endpoint] >= _MAX_READING_FOR_ENDPOINT
        ):
            await connection.close()
            ended(Outcome.CLOSED)
            return
        connection.end_sending()
        self.reading[endpoint] += 1
        await curio.spawn(
            self._read, endpoint, connection, report, ended, daemon=True
        )

    async def _read(self, endpoint, connection, report, ended) -> None:
        try:
            outcome = await _report_head(connection, report)
        finally:
            await connection.close()
            self.reading[endpoint] -= 1
            if not self.reading[endpoint]:
                del self.reading[endpoint]
        ended(outcome)


async def _report_head(
    connection: client.ClientConnection, report: Report
) -> Outcome:
    try:
        async with curio.timeout_after(_READ_TIMEOUT_SECONDS):
            head = await connection.head()
    # A connection without a timeout of its own reports this one.
    except (curio.TaskTimeout, client.StalledError):
        return Outcome.SILENT
    except client.ClientError:
        return Outcome.ENDED
    # The endpoint notices by the next part of its answer that nobody reads it.
    connection.reset_on_close()
    await report(head)
    return Outcome.READ
