"""Messages between nodes and their encoding.

Messages are MessagePack arrays with integer tags to save bytes: the budget of
4 KB/s of control traffic per node has to carry about nine requests a second.
Delivery is at most once and unordered, so every message is idempotent.

A message declares since which revision it exists; `revisions.LANDED` has the
builds. Nodes of newer builds may send messages, fields and codes that this
build does not know. Unknown messages and fields are left out; an unknown code
is replaced by a default that the message states.

The module defines types and functions only; it holds no state.
"""

import hashlib
import hmac
from typing import Annotated, ClassVar

import msgspec

from baobabmux_core import errors, ids, states

MAC_BYTES = 16
_MAX_SHOWN_CODE_LENGTH = 40

OutcomeCode = Annotated[int, msgspec.Meta(ge=0)]

_OUTCOME_CODES = frozenset(item.code for item in states.Outcome)
_ERROR_KINDS = frozenset(item.value for item in errors.ErrorKind)
# Revisions since which kinds of refusals exist, except those of revision 1.
_ERROR_KINDS_SINCE = {
    errors.ErrorKind.VERSION_GONE.value: 3,
    errors.ErrorKind.STREAM_UNKNOWN.value: 3,
    errors.ErrorKind.ENDPOINT_FAILED.value: 8,
}
_VERSIONS_SINCE = 3
_UNREACHED_SINCE = 5
_TUNNELS_SINCE = 5
_RUN_STATUSES = frozenset(item.value for item in states.RunStatus)


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages between nodes.

    Attributes:
        since: First revision whose builds know the message.
    """

    since: ClassVar[int] = 1

    def for_revision(self, revision: int) -> "Message | None":
        """Returns what a node of a revision is sent instead.

        Returns:
            The message itself if that node knows it, a substitute, or None if
            nothing is sent.
        """
        return self if self.since <= revision else None

    def proven_revision(self) -> int:
        """Returns the revision that the sender of the message has at least."""
        return self.since

    def unknown_code(self) -> str | None:
        """Returns a code that this build does not know, or None."""
        return None

    def with_known_code(self) -> "Message":
        """Returns the message with the default for an unknown code."""
        return self


class _RunStatusMessage(Message, frozen=True):
    """Base of the messages whose field `status` is a run status."""

    def unknown_code(self) -> str | None:
        """Returns an unknown status; see the base class."""
        if self.status in _RUN_STATUSES:
            return None
        return f"status {self.status[:_MAX_SHOWN_CODE_LENGTH]}"

    def with_known_code(self) -> "_RunStatusMessage":
        """Replaces the status by `UNKNOWN`, so that nothing runs again."""
        status = states.RunStatus.UNKNOWN.value
        return msgspec.structs.replace(self, status=status)


class PrefixPart(msgspec.Struct, frozen=True, array_like=True):
    """One prefix of a prompt.

    Attributes:
        digest: 32-bit hash of the prefix.
        tokens: Estimated length of the prefix.
    """

    digest: ids.PrefixDigest
    tokens: int


class Pause(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that wants nothing from the sender for a while.

    Attributes:
        endpoint: Endpoint that turned a request of the sender away.
        left_ms: Milliseconds after sending until it takes requests again.
    """

    endpoint: ids.EndpointId
    left_ms: int


class AskTerms(msgspec.Struct, frozen=True, array_like=True):
    """Optional terms of an ask.

    They form a struct of their own because an array-like struct encodes every
    field, and most asks need none of these.

    Attributes:
        first_ms: Milliseconds after sending by which the first event must
            arrive to be useful to the caller, or -1 without such a limit.
        attempt: Number of this attempt to run the request at an endpoint,
            from 1.
        avoided: Endpoints that earlier attempts were dispatched to.
        cost: Units to charge to the workspace's quota, 0 if they were charged
            already.
        target_ms: Milliseconds after sending at which the first event counts
            as late, or -1 without a target.
        version: Version of endpoints at which its stream may go on, or None if
            no event of it was received.
        parts: Parts of its prompt that other requests may share.
        pauses: Endpoints that want nothing from the sender for a while.
        hedged: Whether it is for a second endpoint beside a slow one; it is
            granted at once or refused.
        route: 32-bit hash of the route while the service's version is being
            changed, else 0.
    """

    first_ms: int = -1
    attempt: int = 1
    avoided: tuple[ids.EndpointId, ...] = ()
    cost: int = 0
    target_ms: int = -1
    version: str | None = None
    parts: tuple[ids.PartDigest, ...] = ()
    pauses: tuple[Pause, ...] = ()
    hedged: bool = False
    route: int = 0


class Ask(Message, frozen=True, tag=1):
    """Asks the owner of a group for a grant; repeated until answered.

    Attributes:
        group: Group of endpoints.
        request: Request that waits at the sender.
        tier: Rank of the tier, 0 is the highest.
        workspace: 32-bit hash of the workspace.
        deadline_ms: Milliseconds from sending to the deadline, or -1 without
            a deadline.
        prompt_tokens: Estimated length of the prompt.
        output_tokens: Expected length of the answer.
        prefixes: Prefixes of the prompt, the longest last.
        content: Digest of route and body.
        waited_ms: Milliseconds the request has waited at the sender, so that
            a new owner restores the order of arrival.
        spilled: Whether the sender is in another data centre.
        terms: Further terms, or None if all have their defaults.
    """

    group: ids.GroupId
    request: ids.RequestId
    tier: int
    workspace: int
    deadline_ms: int
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[PrefixPart, ...]
    content: ids.ContentDigest
    waited_ms: int = 0
    spilled: bool = False
    terms: AskTerms | None = None

    def proven_revision(self) -> int:
        """Returns the revision that knows the terms of the ask."""
        is_bound = self.terms is not None and self.terms.version is not None
        return _VERSIONS_SINCE if is_bound else self.since


class Withdraw(Message, frozen=True, tag=2):
    """Cancels an ask or returns an unused grant to the owner."""

    group: ids.GroupId
    request: ids.RequestId


class Grant(Message, frozen=True, tag=3):
    """Permits one dispatch.

    Attributes:
        request: Request that may be dispatched.
        endpoint: Endpoint to dispatch it to.
        lease_ms: Milliseconds after its arrival during which the grant may be
            used.
        slow_ms: Milliseconds from its dispatch after which the request is slow
            if its answer has not begun, 0 if that is not known.
    """

    request: ids.RequestId
    endpoint: ids.EndpointId
    lease_ms: int
    slow_ms: int = 0


class Refusal(Message, frozen=True, tag=4):
    """Refuses an ask permanently.

    Attributes:
        request: Request that is refused.
        kind: Value of the `errors.ErrorKind`.
        retry_after_ms: Milliseconds after which a retry may succeed.
    """

    request: ids.RequestId
    kind: str
    retry_after_ms: int

    def unknown_code(self) -> str | None:
        """Returns an unknown kind; see the base class."""
        if self.kind in _ERROR_KINDS:
            return None
        return f"refusal {self.kind[:_MAX_SHOWN_CODE_LENGTH]}"

    def with_known_code(self) -> "Refusal":
        """Replaces the kind by one that also says that nothing was run."""
        kind = errors.ErrorKind.OVERLOADED.value
        return msgspec.structs.replace(self, kind=kind)

    def for_revision(self, revision: int) -> "Refusal":
        """Replaces a kind that would end a node of an older build."""
        is_known = _ERROR_KINDS_SINCE.get(self.kind, 1) <= revision
        return self if is_known else self.with_known_code()


class Progress(Message, frozen=True, tag=5):
    """Reports the progress of a long answer.

    Attributes:
        group: Group of endpoints.
        request: Request that is running.
        tokens: Output tokens so far.
        elapsed_ms: Milliseconds since the first token.
    """

    group: ids.GroupId
    request: ids.RequestId
    tokens: int
    elapsed_ms: int


class Release(Message, frozen=True, tag=6):
    """Reports the end of a granted request.

    Attributes:
        group: Group of endpoints.
        request: Request that has ended.
        endpoint: Endpoint that ran it.
        outcome: Code of the `states.Outcome`.
        computed_tokens: Prompt tokens that the endpoint computed rather than
            read from its prefix cache, or -1 if it did not report them.
        output_tokens: Output tokens produced.
        prefill_ms: Milliseconds from dispatch to the first token.
        decode_ms: Milliseconds from the first token to the last.
        succeeded: Whether a completed answer reports success.
    """

    group: ids.GroupId
    request: ids.RequestId
    endpoint: ids.EndpointId
    outcome: OutcomeCode
    computed_tokens: int
    output_tokens: int
    prefill_ms: int
    decode_ms: int
    succeeded: bool = True

    def unknown_code(self) -> str | None:
        """Returns an unknown outcome; see the base class."""
        if self.outcome in _OUTCOME_CODES:
            return None
        return f"outcome {self.outcome}"

    def with_known_code(self) -> "Release":
        """Replaces the outcome by `UNREACHED`.

        The owner frees the slot and learns nothing about the endpoint. It does
        not record the request as ended, so that it accepts another ask if the
        attempt was not sent.
        """
        code = states.Outcome.UNREACHED.code
        return msgspec.structs.replace(self, outcome=code)

    def for_revision(self, revision: int) -> "Release | Withdraw":
        """Replaces the outcome `UNREACHED` by the return of the grant.

        Both free the slot, give back the endpoint's request limit, count
        against no breaker and let the holder ask again. `NOT_SENT` would open
        the owner's breaker for an endpoint that others reach.
        """
        is_unreached = self.outcome == states.Outcome.UNREACHED.code
        if is_unreached and revision < _UNREACHED_SINCE:
            return Withdraw(self.group, self.request)
        return self


class InFlight(msgspec.Struct, frozen=True, array_like=True):
    """One dispatched request, as reported to a new owner."""

    request: ids.RequestId
    endpoint: ids.EndpointId
    tier: int
    prompt_tokens: int
    output_tokens: int
    content: ids.ContentDigest
    elapsed_ms: int


class Register(Message, frozen=True, tag=7):
    """Reports the sender's in-flight requests of a group to its new owner."""

    group: ids.GroupId
    in_flight: tuple[InFlight, ...]


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Predicted wait of a group, as reported by its owner."""

    group: ids.GroupId
    wait_ms: int


class LinkState(msgspec.Struct, frozen=True, array_like=True):
    """State of a link and of the endpoint directory, sent in a heartbeat.

    Attributes:
        received_sequence: Sequence number of the newest frame that the
            heartbeat's sender has received from its receiver, or -1.
        received_incarnation: Incarnation of the receiver in that frame.
        endpoints_version: Version of the endpoint directory at the sender,
            or -1.
        endpoints_age_ms: Milliseconds since that version was last known to be
            the newest, or -1.
    """

    received_sequence: int = -1
    received_incarnation: int = -1
    endpoints_version: int = -1
    endpoints_age_ms: int = -1


class Heartbeat(Message, frozen=True, tag=8):
    """Shows that the sender is alive and reports its state.

    Attributes:
        leaving: Whether the sender is shutting down.
        config_version: Offset of the configuration in force, or -1.
        loads: Predicted waits of the groups that the sender owns or, from a
            delegate, of all groups of its data centre.
        data_centre: Data centre of the sender.
        suspects: Nodes that the sender reports as suspected; `@NAME` denotes
            a whole data centre.
        address: Address at which the sender accepts frames, sent while the VM
            list does not contain it.
        link: State of the link and the endpoint directory, or None.
        tunnel_port: Port at which the sender accepts requests for tunnels to
            endpoints, 0 without one.
        revision: Revision of the sender, 0 from builds that state none.
        location: Data centre of the sender if `data_centre` is a cell.
        interval_ms: Longest time until the sender's next heartbeat in
            milliseconds, 0 from builds that state none.
        ability: Thousandths of a core that the sender's VM can use, 0 from
            builds that state none.
        config_age_ms: Milliseconds since that configuration was last known to
            be the newest, or -1.
    """

    leaving: bool
    config_version: int
    loads: tuple[ServiceLoad, ...] = ()
    data_centre: ids.DataCentre = ids.DataCentre("")
    suspects: tuple[str, ...] = ()
    address: str = ""
    link: LinkState | None = None
    tunnel_port: int = 0
    revision: int = 0
    location: ids.DataCentre = ids.DataCentre("")
    interval_ms: int = 0
    ability: int = 0
    config_age_ms: int = -1

    def proven_revision(self) -> int:
        """Returns the revision as stated, or shown by the tunnel port."""
        shown = _TUNNELS_SINCE if self.tunnel_port else self.since
        return max(self.revision, shown)


class Suspect(Message, frozen=True, tag=9):
    """Reports that an endpoint crashed and which contents it was running.

    Attributes:
        endpoint: Endpoint that crashed.
        contents: Digests of all contents in flight there.
        alone: Whether a single content was in flight and ran in isolation,
            which proves that it caused the crash.
    """

    endpoint: ids.EndpointId
    contents: tuple[ids.ContentDigest, ...]
    alone: bool


class Cleared(Message, frozen=True, tag=10):
    """Reports that a content under which endpoints ended has completed."""

    content: ids.ContentDigest


class ClaimEntry(msgspec.Struct, frozen=True, array_like=True):
    """One claim on a key.

    Attributes:
        key: Hash of the key.
        attempt: Attempt that claims the key.
        holder: Node that holds the request.
        body: Digest of the body.
        key_time_ms: Timestamp inside the key, in Unix milliseconds.
    """

    key: ids.KeyHash
    attempt: ids.AttemptId
    holder: ids.NodeId
    body: ids.ContentDigest
    key_time_ms: int


class ClaimAsk(Message, frozen=True, tag=11):
    """Asks a batching node to append a claim."""

    entry: ClaimEntry


class ClaimAnswer(_RunStatusMessage, frozen=True, tag=12):
    """Answers a `ClaimAsk` with the decision on the claim.

    Attributes:
        key: Hash of the key.
        attempt: Attempt whose claim is answered.
        winner: Attempt that holds the key.
        holder: Node that holds the winner's request.
        status: Value of `states.RunStatus` of the winner.
        body: Digest of the winner's body.
    """

    key: ids.KeyHash
    attempt: ids.AttemptId
    winner: ids.AttemptId
    holder: ids.NodeId
    status: str
    body: ids.ContentDigest


class KeyAsk(Message, frozen=True, tag=13):
    """Registers a key of an idempotent route at the key's home node."""

    key: ids.KeyHash
    attempt: ids.AttemptId
    body: ids.ContentDigest


class KeyAnswer(Message, frozen=True, tag=14):
    """Answers a `KeyAsk` with the first attempt that registered the key."""

    key: ids.KeyHash
    attempt: ids.AttemptId
    winner: ids.AttemptId
    holder: ids.NodeId
    body: ids.ContentDigest


class AnswerAsk(Message, frozen=True, tag=15):
    """Asks the holder of a key's first request for a part of its answer."""

    key: ids.KeyHash
    winner: ids.AttemptId
    part: int


class AnswerPart(_RunStatusMessage, frozen=True, tag=16):
    """One part of a kept answer.

    Attributes:
        key: Hash of the key.
        winner: Attempt whose answer this is.
        status: Value of `states.RunStatus`.
        part: Number of this part, from 0.
        parts: Number of parts, 0 if no answer is kept.
        http_status: HTTP status of the answer.
        content_type: Media type of the answer.
        data: Bytes of this part.
    """

    key: ids.KeyHash
    winner: ids.AttemptId
    status: str
    part: int
    parts: int
    http_status: int
    content_type: str
    data: bytes


class ConfigAsk(Message, frozen=True, tag=17):
    """Asks a peer for its configuration if it is newer than `through`.

    Attributes:
        through: Position up to which the sender has read its source.
        takes_packed: Whether the sender unpacks compressed records.
    """

    through: int
    takes_packed: bool = False


class ConfigState(Message, frozen=True, tag=18):
    """Sends the sender's configuration as the JSON of a snapshot record.

    Attributes:
        through: Position up to which the sender has read its source.
        snapshot: The record, or empty if it is packed.
        packed: The record compressed with zlib, or empty.
    """

    through: int
    snapshot: bytes
    packed: bytes = b""


class DrainEndpoint(Message, frozen=True, tag=19):
    """Starts (`drain` True) or ends the draining of an endpoint."""

    endpoint: ids.EndpointId
    drain: bool


class Queued(Message, frozen=True, tag=20):
    """Confirms to a holder that the owner has queued its ask."""

    request: ids.RequestId


class Reminder(Message, frozen=True, tag=23):
    """Repeats an ask to the owner that the complete `Ask` was sent to.

    It is much shorter than an `Ask`. An owner that has no record of the
    request answers with `Forgotten`.
    """

    group: ids.GroupId
    request: ids.RequestId


class Forgotten(Message, frozen=True, tag=24):
    """Answers a `Reminder` for an unknown request.

    The holder sends its complete `Ask` again.
    """

    request: ids.RequestId


class EndpointsAsk(Message, frozen=True, tag=21):
    """Asks a peer for its endpoint directory if it is newer than `version`."""

    version: int


class DirectoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One endpoint in the directory.

    Attributes:
        name: Name that the endpoint uses for itself.
        service: Service that it runs.
        address: IP address and port.
        location: Data centre.
        slots: Number of requests that it runs concurrently.
        draining: Whether it accepts no new work.
        born_ms: Start time in Unix milliseconds, or 0 if unknown.
        version: Version of its software, or the empty string if unknown.
    """

    name: str
    service: ids.ServiceName
    address: str
    location: ids.DataCentre
    slots: int
    draining: bool
    born_ms: int = 0
    version: str = ""


class EndpointsState(Message, frozen=True, tag=22):
    """Sends the sender's endpoint directory.

    Attributes:
        version: Version of the directory.
        age_ms: Milliseconds since it was last known to be the newest.
        entries: All entries.
    """

    version: int
    age_ms: int
    entries: tuple[DirectoryEntry, ...]


class ContentEnd(msgspec.Struct, frozen=True, array_like=True):
    """A content that an endpoint was running when it ended.

    Attributes:
        content: Digest of the content.
        ended_ms: Milliseconds from the end to the sending of the message.
    """

    content: ids.ContentDigest
    ended_ms: int


class PartEnd(msgspec.Struct, frozen=True, array_like=True):
    """A part of prompts that an endpoint was running when it ended.

    Attributes:
        part: Digest of the part.
        ended_ms: Milliseconds from the end to the sending of the message.
        content: Content of the run.
    """

    part: ids.PartDigest
    ended_ms: int
    content: ids.ContentDigest


class EndedContents(Message, frozen=True, tag=25):
    """Reports what an endpoint was running when it ended.

    Attributes:
        endpoint: Endpoint that ended.
        certain: Whether it is known to have ended; otherwise it has left the
            endpoint directory without a notice.
        ends: The contents, each with the time of the end.
        parts: The parts of their prompts that may have ended it.
    """

    since: ClassVar[int] = 2

    endpoint: ids.EndpointId
    certain: bool
    ends: tuple[ContentEnd, ...]
    parts: tuple[PartEnd, ...] = ()


class PartsProved(Message, frozen=True, tag=30):
    """Reports parts of prompts that have been shown to end no endpoint."""

    since: ClassVar[int] = 4

    parts: tuple[ids.PartDigest, ...]


class EndpointLimit(msgspec.Struct, frozen=True, array_like=True):
    """Request limit that an endpoint names in its answers.

    Attributes:
        endpoint: Endpoint that the limit is of.
        rate: Requests a second from all nodes together, or -1 after the limit
            has ended.
        age_ms: Milliseconds since the evidence for it.
    """

    endpoint: ids.EndpointId
    rate: float
    age_ms: int


class EndpointLimits(Message, frozen=True, tag=26):
    """Reports the request limits of endpoints."""

    since: ClassVar[int] = 3

    limits: tuple[EndpointLimit, ...]


class EndpointsLeaving(Message, frozen=True, tag=31):
    """Reports endpoints whose answers say that they are leaving."""

    since: ClassVar[int] = 4

    endpoints: tuple[ids.EndpointId, ...]


class StreamsBegan(Message, frozen=True, tag=27):
    """Reports streams that began at the sender.

    Attributes:
        service: Service that runs them.
        version: Version of the endpoints that sent their first events.
        streams: Keys of the streams.
    """

    since: ClassVar[int] = 3

    service: ids.ServiceName
    version: str
    streams: tuple[ids.StreamKey, ...]


class StreamAsk(Message, frozen=True, tag=28):
    """Asks which version of a service's endpoints began a stream.

    Attributes:
        request: Request of the sender that takes the stream up.
        stream: Key of the stream.
        service: Service that is assumed to run it.
    """

    since: ClassVar[int] = 3

    request: ids.RequestId
    stream: ids.StreamKey
    service: ids.ServiceName


class StreamAnswer(Message, frozen=True, tag=29):
    """Answers a `StreamAsk`.

    Attributes:
        request: Request of the `StreamAsk`.
        service: Service that runs the stream.
        version: Version that began it, or None if the sender does not know.
        certain: Whether the sender has a record of the stream; otherwise it
            has known no other version of the service for long enough.
    """

    since: ClassVar[int] = 3

    request: ids.RequestId
    service: ids.ServiceName
    version: str | None
    certain: bool


class StreamsToStore(Message, frozen=True, tag=33):
    """Hands streams to a node that records them in the platform's store.

    Attributes:
        service: Service that runs them.
        version: Version of the endpoints that sent their first events.
        streams: Keys of the streams.
        handovers: Number of nodes that could not record them.
    """

    since: ClassVar[int] = 8

    service: ids.ServiceName
    version: str
    streams: tuple[ids.StreamKey, ...]
    handovers: int = 0


class EndpointPaused(Message, frozen=True, tag=32):
    """Reports that an endpoint wants nothing from the receiver for a while.

    It is sent to a node that carried a connection to the endpoint. Builds that
    do not know it carry none, so they need no substitute.

    Attributes:
        endpoint: The endpoint.
        ms: Milliseconds from now on.
    """

    since: ClassVar[int] = 5

    endpoint: ids.EndpointId
    ms: int


class QuotaAsk(Message, frozen=True, tag=36):
    """Asks an owner's successor to charge a request while the owner is silent.

    It is repeated until answered. To builds that do not know it nothing is
    sent instead: the request waits for the owner.

    Attributes:
        request: Request that would run from the sender's own share.
        group: Group of the silent owner.
        workspace: 32-bit hash of the workspace.
        cost: Units to charge to the workspace's quota.
    """

    since: ClassVar[int] = 8

    request: ids.RequestId
    group: ids.GroupId
    workspace: int
    cost: int


class QuotaAnswer(Message, frozen=True, tag=37):
    """Answers a `QuotaAsk`.

    Attributes:
        request: Request of the `QuotaAsk`.
        charged: Whether its cost was charged.
    """

    since: ClassVar[int] = 8

    request: ids.RequestId
    charged: bool


class RolloutState(Message, frozen=True, tag=40):
    """Reports an order to move a service to another version.

    Attributes:
        service: The service.
        target: Version that it is moved to.
        number: Number of the order.
        phase: Value of the `rollout_trials.Phase`.
        age_ms: Milliseconds since the order.
        seconds: Time from the order to its deadline.
        reason: Why it is rolled back, or an empty text.
    """

    since: ClassVar[int] = 8

    service: ids.ServiceName
    target: str
    number: int
    phase: int
    age_ms: int
    seconds: float
    reason: str = ""


AnyMessage = (
    Ask
    | Withdraw
    | Grant
    | Refusal
    | Progress
    | Release
    | Register
    | Heartbeat
    | Suspect
    | Cleared
    | ClaimAsk
    | ClaimAnswer
    | KeyAsk
    | KeyAnswer
    | AnswerAsk
    | AnswerPart
    | ConfigAsk
    | ConfigState
    | DrainEndpoint
    | Queued
    | Reminder
    | Forgotten
    | EndpointsAsk
    | EndpointsState
    | EndedContents
    | EndpointLimits
    | StreamsBegan
    | StreamAsk
    | StreamAnswer
    | PartsProved
    | EndpointsLeaving
    | EndpointPaused
    | StreamsToStore
    | QuotaAsk
    | QuotaAnswer
    | RolloutState
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Messages that a node sends to another in one event loop iteration.

    Attributes:
        sender: Node that sent the frame.
        incarnation: Start time of the sender in Unix milliseconds; a restart
            under the same name has a larger one.
        sequence: Sequence number at the sender, by which losses are counted.
        hlc: Packed hybrid logical clock of the sender.
        messages: Messages in order of sending.
    """

    sender: ids.NodeId
    incarnation: int
    sequence: int
    hlc: int
    messages: tuple[AnyMessage, ...]


class FrameError(ValueError):
    """A frame could not be decoded or authenticated."""


class Received(msgspec.Struct, frozen=True):
    """A decoded frame and what was unknown in it.

    Attributes:
        frame: The frame, without unknown messages and with known codes only.
        unknown: What this build does not know, as `message TAG`,
            `outcome CODE`, `refusal KIND` or `status STATUS`.
    """

    frame: Frame
    unknown: tuple[str, ...] = ()


class _RawFrame(msgspec.Struct, frozen=True, array_like=True):
    """A `Frame` whose messages are not decoded."""

    sender: ids.NodeId
    incarnation: int
    sequence: int
    hlc: int
    messages: tuple[msgspec.Raw, ...]


MESSAGE_TYPES: dict[int, type[Message]] = {
    item.__struct_config__.tag: item for item in AnyMessage.__args__
}
"""Types of messages by their tags."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)
_RAW_DECODER = msgspec.msgpack.Decoder(_RawFrame)
_MESSAGE_DECODER = msgspec.msgpack.Decoder(AnyMessage)
_GENERIC_DECODER = msgspec.msgpack.Decoder()


def encode_frame(frame: Frame, secret: bytes = b"") -> bytes:
    """Encodes a frame.

    Args:
        frame: Frame to encode.
        secret: Key of the authentication code (MAC); empty means no MAC.

    Returns:
        The MAC, if any, followed by the MessagePack bytes.
    """
    body = _ENCODER.encode(frame)
    return _mac(body, secret) + body if secret else body


def decode_frame(data: bytes, secret: bytes = b"") -> Frame:
    """Decodes a frame without what is unknown in it; see `receive_frame`."""
    return receive_frame(data, secret).frame


def receive_frame(data: bytes, secret: bytes = b"") -> Received:
    """Decodes a frame.

    Args:
        data: Bytes as received.
        secret: Key of the authentication code (MAC); empty means no MAC.

    Returns:
        The frame and what is unknown in it.

    Raises:
        FrameError: The bytes are not a valid frame or the MAC is wrong.
    """
    body = data
    if secret:
        body = data[MAC_BYTES:]
        if not hmac.compare_digest(data[:MAC_BYTES], _mac(body, secret)):
            raise FrameError("the authentication code does not match")
    try:
        return _decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(str(error)) from error


def _decode(body: bytes) -> Received:
    unknown: list[str] = []
    try:
        frame = _DECODER.decode(body)
    except msgspec.ValidationError:
        frame = _decode_known(body, unknown)
    codes = [message.unknown_code() for message in frame.messages]
    if not any(codes):
        return Received(frame, tuple(unknown))
    unknown += [code for code in codes if code is not None]
    known = tuple(
        message if code is None else message.with_known_code()
        for message, code in zip(frame.messages, codes, strict=True)
    )
    return Received(
        msgspec.structs.replace(frame, messages=known), tuple(unknown)
    )


def _decode_known(body: bytes, unknown: list[str]) -> Frame:
    """Decodes a frame message by message and leaves unknown ones out."""
    raw = _RAW_DECODER.decode(body)
    known = []
    for item in raw.messages:
        tag = _tag_of(item)
        if tag is None or tag in MESSAGE_TYPES:
            known.append(_MESSAGE_DECODER.decode(item))
        else:
            unknown.append(f"message {tag}")
    return Frame(
        raw.sender, raw.incarnation, raw.sequence, raw.hlc, tuple(known)
    )


def _tag_of(item: msgspec.Raw) -> int | None:
    """Returns the tag of an encoded message, or None if it has none."""
    fields = _GENERIC_DECODER.decode(item)
    if not isinstance(fields, list) or not fields:
        return None
    return fields[0] if type(fields[0]) is int else None


def _mac(body: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(body, key=secret, digest_size=MAC_BYTES).digest()
