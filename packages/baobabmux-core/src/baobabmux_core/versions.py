"""Software versions of endpoints.

What two versions write does not fit together, so a stream may go on only at
the version that began it. The empty string is an unknown version.
"""

from collections.abc import Iterable


def may_go_on(bound: str | None, version: str, others: Iterable[str]) -> bool:
    """Returns whether a stream may go on at an endpoint.

    Args:
        bound: Version that began the stream, or None if none has.
        version: Version of the endpoint.
        others: Versions of all endpoints of the service. A stream that an
            unknown version began may go on only while no version is known.
    """
    if bound is None:
        return True
    if not bound:
        return not any(others)
    return version == bound
