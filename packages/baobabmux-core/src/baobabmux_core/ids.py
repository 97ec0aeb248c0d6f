"""Identifier types shared by all packages."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Name of one node process, unique for its lifetime."""

RequestId = NewType("RequestId", str)
"""Identifier of one caller's request, unique over all nodes."""

AttemptId = NewType("AttemptId", str)
"""Identifier of a request as the claimant of an idempotency key.

Each repeated send of a key is an attempt of its own.
"""

EndpointId = NewType("EndpointId", str)
VmId = NewType("VmId", str)
Workspace = NewType("Workspace", str)
TierName = NewType("TierName", str)
RouteName = NewType("RouteName", str)
PresetName = NewType("PresetName", str)
ServiceName = NewType("ServiceName", str)
DataCentre = NewType("DataCentre", str)

GroupId = NewType("GroupId", str)
"""One service in one data centre, written `service@data_centre`."""

KeyHash = NewType("KeyHash", int)
"""64-bit hash of workspace, route and idempotency key."""

ContentDigest = NewType("ContentDigest", int)
"""64-bit hash of a request's route and body."""

StreamKey = NewType("StreamKey", int)
"""64-bit hash of the workspace and the identifier of the caller's request that
began a stream."""

EventId = NewType("EventId", str)
"""Identifier of an event of a stream, a decimal number as its sender wrote it;
see `event_ids`."""

PartDigest = NewType("PartDigest", int)
"""32-bit hash of one part of a prompt, without the parts before it."""

PrefixDigest = NewType("PrefixDigest", int)
"""32-bit hash of a prompt prefix."""

Offset = NewType("Offset", int)
"""Position of a record in a stream of the log service."""


def group_id(service: ServiceName, data_centre: DataCentre) -> GroupId:
    """Returns the identifier of a service's endpoints in a data centre."""
    return GroupId(f"{service}@{data_centre}")
