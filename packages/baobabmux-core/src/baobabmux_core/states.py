"""Enumerations of the states of requests, attempts, members and endpoints."""

import enum


class RequestState(enum.Enum):
    """State of a request at the node that holds the caller's connection."""

    RECEIVED = "received"
    QUEUED = "queued"
    GRANTED = "granted"
    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunStatus(enum.Enum):
    """Execution status of a request, as reported to its caller."""

    NOT_RUN = "not_run"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Outcome(enum.Enum):
    """How an attempt at an endpoint ended.

    Messages between nodes carry the code; logs and metrics carry the value.
    """

    COMPLETED = ("completed", 0)
    CANCELLED = ("cancelled", 1)
    NOT_SENT = ("not_sent", 2)  # No byte reached the endpoint.
    REJECTED = ("rejected", 3)  # The endpoint answered that it did not run it.
    FAILED = ("failed", 4)  # The endpoint answered that its run failed.
    BROKEN = ("broken", 5)  # The answer broke off and could not be resumed.
    GARBAGE = ("garbage", 6)  # The endpoint's answer violated its protocol.
    # No byte reached the endpoint, and only links of the sender have failed.
    UNREACHED = ("unreached", 7)

    def __new__(cls, value: str, code: int):
        """Creates a member with its value and code."""
        member = object.__new__(cls)
        member._value_ = value
        member.code = code
        return member

    @classmethod
    def of_code(cls, code: int) -> "Outcome":
        """Returns the outcome with a code.

        Raises:
            ValueError: No outcome has the code.
        """
        for member in cls:
            if member.code == code:
                return member
        raise ValueError(f"no outcome has the code {code}")


BROKEN_OUTCOMES = frozenset({Outcome.BROKEN, Outcome.GARBAGE})
"""Outcomes after which it is unknown what became of the run."""

UNSENT_OUTCOMES = frozenset({Outcome.NOT_SENT, Outcome.UNREACHED})
"""Outcomes after which another endpoint gets the request as its first."""


class MemberState(enum.Enum):
    """State of a node in the membership view."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class EndpointState(enum.Enum):
    """Whether an endpoint may receive new work."""

    LIVE = "live"
    DRAINING = "draining"
    LEAVING = "leaving"
    GONE = "gone"
