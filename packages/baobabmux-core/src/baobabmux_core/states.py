"""States of requests, members and endpoints."""

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
    """What a caller is told about the execution of its request."""

    NOT_RUN = "not_run"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Outcome(enum.Enum):
    """How an attempt at an endpoint ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"  # No byte reached the endpoint.
    REJECTED = "rejected"  # The endpoint answered that it did not run it.
    FAILED = "failed"  # The endpoint answered that its run failed.
    BROKEN = "broken"  # The answer broke off and could not be resumed.
    GARBAGE = "garbage"  # The endpoint's answer violated its protocol.


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
