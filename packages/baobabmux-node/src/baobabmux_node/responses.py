"""Builds the answers of the node that do not come from an endpoint."""

import math

import msgspec

from baobabmux_core import errors

Response = tuple[int, dict[str, str], bytes]
"""Status, header fields and body."""

RUN_STATUS_HEADER = "baobabmux-run-status"
REQUEST_ID_HEADER = "baobabmux-request-id"


def problem(
    kind: errors.ErrorKind,
    request_id: str,
    detail: str | None = None,
    retry_after: float | None = None,
) -> Response:
    """Builds an error answer as problem details (RFC 9457).

    Args:
        kind: Kind of the error.
        request_id: Identifier of the request, empty if it has none yet.
        detail: Text for the caller that says what is wrong, or None.
        retry_after: Seconds until a repeat may succeed, or None.

    Returns:
        The complete answer.
    """
    details = errors.problem(kind, request_id, detail, retry_after)
    headers = {
        "content-type": "application/problem+json",
        RUN_STATUS_HEADER: details.run_status,
    }
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if details.retry_after is not None:
        # Retry-After takes whole seconds.
        headers["retry-after"] = str(max(1, math.ceil(details.retry_after)))
    return details.status, headers, msgspec.json.encode(details)


def json(value: object, status: int = 200) -> Response:
    """Builds a JSON answer."""
    headers = {"content-type": "application/json"}
    return status, headers, msgspec.json.encode(value)


def text(value: str, status: int = 200) -> Response:
    """Builds a plain text answer."""
    headers = {"content-type": "text/plain; charset=utf-8"}
    return status, headers, value.encode()
