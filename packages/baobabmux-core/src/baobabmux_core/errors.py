"""All error kinds and the response that a caller receives for each."""

import enum

import msgspec

from baobabmux_core import states


class ErrorKind(enum.Enum):
    """Every kind of error that is reported to a caller or an operator."""

    BAD_REQUEST = "bad_request"
    BAD_KEY = "bad_key"
    KEY_REQUIRED = "key_required"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    NO_ROUTE = "no_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_UNKNOWN = "key_unknown"
    OVER_QUOTA = "over_quota"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    STILL_RUNNING = "still_running"
    ANSWER_NOT_KEPT = "answer_not_kept"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    NO_ENDPOINT = "no_endpoint"
    LOG_UNAVAILABLE = "log_unavailable"
    NOT_READY = "not_ready"
    SHUTTING_DOWN = "shutting_down"
    QUARANTINED = "quarantined"
    VERSION_GONE = "version_gone"
    STREAM_UNKNOWN = "stream_unknown"
    TIMED_OUT = "timed_out"
    ENDPOINT_BROKE = "endpoint_broke"
    ENDPOINT_GARBAGE = "endpoint_garbage"
    ENDPOINT_FAILED = "endpoint_failed"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


class Answer(msgspec.Struct, frozen=True):
    """Response that a caller receives for one error kind.

    Attributes:
        status: HTTP status code.
        run_status: Whether the request was run, as far as is known.
        title: One human-readable line.
        retry_after: Whether the response may say when to retry.
    """

    status: int
    run_status: states.RunStatus
    title: str
    retry_after: bool = False


_NOT_RUN = states.RunStatus.NOT_RUN
_UNKNOWN = states.RunStatus.UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, "The request is malformed."),
    ErrorKind.BAD_KEY: Answer(
        400, _NOT_RUN, "The idempotency key is not a UUID of version 7."
    ),
    ErrorKind.KEY_REQUIRED: Answer(
        400, _NOT_RUN, "This route requires an idempotency key."
    ),
    # The request of an expired key may have run; the log no longer retains
    # the records of its claim.
    ErrorKind.KEY_EXPIRED: Answer(
        410, _UNKNOWN, "The idempotency key is older than the claim window."
    ),
    ErrorKind.KEY_REUSED: Answer(
        422, _NOT_RUN, "The idempotency key was used with another body."
    ),
    ErrorKind.NO_ROUTE: Answer(404, _NOT_RUN, "No route serves this path."),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(
        405, _NOT_RUN, "The route does not allow this method."
    ),
    ErrorKind.KEY_UNKNOWN: Answer(
        401, _NOT_RUN, "The API key is missing or unknown."
    ),
    ErrorKind.OVER_QUOTA: Answer(
        429, _NOT_RUN, "The workspace has used up its quota.", retry_after=True
    ),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NOT_RUN, "The body is too large."),
    ErrorKind.HEADERS_TOO_LARGE: Answer(
        431, _NOT_RUN, "The header section is too large."
    ),
    ErrorKind.REQUEST_TIMEOUT: Answer(
        408, _NOT_RUN, "The request did not arrive in time."
    ),
    ErrorKind.STILL_RUNNING: Answer(
        409,
        states.RunStatus.RUNNING,
        "The first request with this key is still running.",
        retry_after=True,
    ),
    ErrorKind.ANSWER_NOT_KEPT: Answer(
        409,
        states.RunStatus.DONE,
        "The request was run; its answer is no longer kept.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        409, _UNKNOWN, "The outcome of the request with this key is unknown."
    ),
    ErrorKind.OVERLOADED: Answer(
        503, _NOT_RUN, "The service is overloaded.", retry_after=True
    ),
    ErrorKind.DEADLINE_UNREACHABLE: Answer(
        503,
        _NOT_RUN,
        "The request cannot finish before its deadline.",
        retry_after=True,
    ),
    ErrorKind.DEADLINE_PASSED: Answer(
        504,
        _NOT_RUN,
        "The deadline passed before the request could start.",
        retry_after=True,
    ),
    ErrorKind.NO_ENDPOINT: Answer(
        503, _NOT_RUN, "No endpoint can take the request.", retry_after=True
    ),
    ErrorKind.LOG_UNAVAILABLE: Answer(
        503,
        _NOT_RUN,
        "The log service is out of reach, so the key cannot be claimed.",
        retry_after=True,
    ),
    ErrorKind.NOT_READY: Answer(
        503, _NOT_RUN, "The node has no configuration yet.", retry_after=True
    ),
    ErrorKind.SHUTTING_DOWN: Answer(
        503, _NOT_RUN, "The node is shutting down.", retry_after=True
    ),
    ErrorKind.QUARANTINED: Answer(
        422,
        _NOT_RUN,
        "This content, or a part of its prompt, has crashed endpoints and is"
        " refused.",
        retry_after=True,
    ),
    # Only a new stream can be served, so there is no time to come back.
    ErrorKind.VERSION_GONE: Answer(
        503,
        _NOT_RUN,
        "No endpoint of the version that began the stream is left.",
    ),
    # Another node, or this one when it reaches more of them, may know it.
    ErrorKind.STREAM_UNKNOWN: Answer(
        503,
        _NOT_RUN,
        "It is not known which version of the endpoints began the stream.",
        retry_after=True,
    ),
    ErrorKind.TIMED_OUT: Answer(
        504, _UNKNOWN, "The endpoint did not answer in time."
    ),
    ErrorKind.ENDPOINT_BROKE: Answer(
        502, _UNKNOWN, "The endpoint's answer broke off."
    ),
    ErrorKind.ENDPOINT_GARBAGE: Answer(
        502, _UNKNOWN, "The endpoint's answer violated its protocol."
    ),
    ErrorKind.ENDPOINT_FAILED: Answer(
        502, _UNKNOWN, "The endpoint failed and may have run the request."
    ),
    ErrorKind.CALLER_GONE: Answer(
        499, _UNKNOWN, "The caller closed the connection."
    ),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, "The node met a fault."),
}


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem details of RFC 9457 with extension members of this project.

    Attributes:
        type: URI reference of the error kind.
        title: One human-readable line.
        status: HTTP status code.
        kind: Value of the error kind.
        run_status: Value of the run status.
        request_id: Identifier of the request.
        detail: Specific cause of the error, or None.
        retry_after: Seconds after which a retry may succeed, or None.
    """

    type: str
    title: str
    status: int
    kind: str
    run_status: str
    request_id: str
    detail: str | None = None
    retry_after: float | None = None


def problem(
    kind: ErrorKind,
    request_id: str,
    detail: str | None = None,
    retry_after: float | None = None,
) -> Problem:
    """Builds the problem details for an error kind.

    Args:
        kind: Kind of the error.
        request_id: Identifier of the request.
        detail: Specific cause of the error, or None.
        retry_after: Seconds after which a retry may succeed, or None.

    Returns:
        The problem details; `retry_after` is dropped for kinds whose response
        must not carry it.
    """
    answer = ANSWERS[kind]
    return Problem(
        type=f"urn:baobabmux:error:{kind.value}",
        title=answer.title,
        status=answer.status,
        kind=kind.value,
        run_status=answer.run_status.value,
        request_id=request_id,
        detail=detail,
        retry_after=retry_after if answer.retry_after else None,
    )
