"""Connections of callers that wait for their next request."""

import abc
import itertools
from collections.abc import Iterable, Iterator

# A caller that was answered a moment ago may be sending its next request.
_MIN_IDLE_SECONDS = 1.0


class Connection(abc.ABC):
    """A connection that can be closed while it is idle."""

    @abc.abstractmethod
    def has_received(self) -> bool:
        """Returns whether bytes of the next request have arrived."""

    @abc.abstractmethod
    def stop_reading(self) -> None:
        """Accepts no further request and closes the connection."""


class IdleConnections:
    """The idle connections of a server, the longest idle first.

    Attributes:
        closed: Connections that were closed to make room for others.
    """

    def __init__(self):
        self.closed = 0
        # Times on the node's clock in seconds, oldest first.
        self._since: dict[Connection, float] = {}

    def add(self, connection: Connection, now: float) -> None:
        """Adds a connection that waits for a request from now on."""
        self._since[connection] = now

    def discard(self, connection: Connection) -> None:
        """Removes a connection that has received a request or was closed."""
        self._since.pop(connection, None)

    def close_oldest(self, count: int, now: float) -> None:
        """Closes connections that have been idle for long.

        Their callers see that no request was accepted, as after an idle
        timeout.

        Args:
            count: Most connections to close.
            now: Time on the node's clock in seconds.
        """
        old = itertools.takewhile(
            lambda connection: (
                now - self._since[connection] >= _MIN_IDLE_SECONDS
            ),
            self._since,
        )
        chosen = list(itertools.islice(_quiet(old), count))
        self._close(chosen)
        self.closed += len(chosen)

    def close_all(self) -> None:
        """Closes all connections, as the server accepts no further request."""
        self._close(list(_quiet(self._since)))

    def _close(self, connections: list[Connection]) -> None:
        for connection in connections:
            connection.stop_reading()
            self.discard(connection)


def _quiet(connections: Iterable[Connection]) -> Iterator[Connection]:
    """Yields the connections on which no request is on its way."""
    return (
        connection
        for connection in connections
        if not connection.has_received()
    )
