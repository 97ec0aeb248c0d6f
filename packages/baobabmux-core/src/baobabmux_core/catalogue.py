"""Catalogue of numbered events, from which docs/events.md is generated.

    python -m baobabmux_core.catalogue > docs/events.md

Numbers are never reused: 1xx process, 2xx requests, 3xx grants and
ownership, 4xx endpoints, 5xx claims and keys, 6xx configuration, 7xx
membership, 8xx platform, 9xx input from the network.
"""

import enum


class EventKind(enum.Enum):
    """Kind of an event: its number and its sentence.

    Names in braces are fields of the event.
    """

    NODE_STARTED = (101, "The node listens at {addresses}.")
    SHUTDOWN_STARTED = (
        102,
        "The node is shutting down with {held} requests held.",
    )
    SHUTDOWN_ENDED = (103, "The node has ended every held request.")
    SETTINGS_READ = (105, "The settings were read: {outcome}.")
    LINES_COUNTED = (
        106,
        "{count} routine events of a busy second were counted, not written.",
    )
    LOOP_HELD = (
        107,
        "Task {task} kept all others of the node from running, {count} times,"
        " for {longest_ms} ms at the longest.",
    )
    PAUSE_NOTICED = (104, "The process was paused for {seconds} s.")

    REQUEST_RECEIVED = (
        201,
        "Request {public_id} arrived for route {route}.",
    )
    REQUEST_GRANTED = (202, "The request may run at {endpoint}.")
    REQUEST_DISPATCHED = (203, "The request is being sent to {endpoint}.")
    DISPATCH_FORBIDDEN = (
        204,
        "The grant for {endpoint} had expired before the first byte.",
    )
    ATTEMPT_ENDED = (
        205,
        "The attempt at {endpoint} ended: {outcome} {detail}",
    )
    REQUEST_REFUSED = (206, "The request ended with {error}.")
    FIRST_TOKEN = (207, "The first token arrived from {endpoint}.")
    REQUEST_REPEATED = (
        208,
        "The key belongs to attempt {winner} at node {holder}.",
    )

    STREAM_ANSWERED = (
        209,
        "Node {peer} says that version {version} of {service} began the"
        " stream; it has a record: {certain}.",
    )

    ANSWER_SILENT = (
        210,
        "{endpoint} has sent nothing for {silent_ms} ms; another endpoint is"
        " asked for as {backup}.",
    )
    ANSWER_TAKEN_OVER = (
        211,
        "{successor} takes over from {endpoint}, which is silent or slow, as"
        " {backup}.",
    )
    ANSWER_SLOW = (
        213,
        "The answer of {endpoint} has not begun after {silent_ms} ms, longer"
        " than usual; another endpoint is asked for as {backup}.",
    )

    STATUS_WITHHELD = (
        214,
        "{endpoint} answered {status}, which would tell the caller that the"
        " request was not run, but did not say so itself; the caller is not"
        " told the status.",
    )

    POSITION_LOST = (
        215,
        "{endpoint} sent an event without a number, so that no other endpoint"
        " can go on with the stream.",
    )

    QUOTA_CHARGED = (
        212,
        "The owner is silent; node {deputy}, which stands in for it, charged"
        " the request to its workspace's quota: {charged}.",
    )

    OWNERSHIP_TAKEN = (301, "The node owns group {group} now.")
    OWNERSHIP_LEFT = (302, "The node no longer owns group {group}.")
    REQUEST_ASKED = (
        303,
        "Node {holder} asks for a grant in group {group}.",
    )
    GRANT_SENT = (304, "The owner grants {endpoint} to node {holder}.")
    RELEASE_RECEIVED = (
        305,
        "Node {holder} reports the end at {endpoint}: {outcome}.",
    )
    REFUSAL_SENT = (306, "The owner refuses the request: {error}.")
    OWNER_CHANGED = (
        307,
        "This node takes node {owner} for the owner of group {group}, before:"
        " {previous}; it acts as the owner itself: {acts}.",
    )
    ASKS_MISDIRECTED = (
        308,
        "{count} asks arrived for group {group}, which this node does not own;"
        " it takes node {owner} for the owner.",
    )

    ENDPOINT_DRAINED = (401, "Drain of {endpoint} is set to {drain}.")
    BREAKER_CHANGED = (402, "The breaker of {endpoint} is {state}.")
    CONTENT_SUSPECTED = (
        403,
        "Contents {contents} are suspected of crashing {endpoint}.",
    )
    CONTENT_CLEARED = (404, "Content {content} is cleared.")
    ORDER_SENT = (405, "Order {order} was sent to {endpoint}.")

    ENDPOINTS_CHANGED = (
        406,
        "Version {version} of the endpoint directory has {ready} ready and"
        " {draining} draining endpoints; source: {source}.",
    )
    ENTRY_IGNORED = (
        407,
        "Entry {name} of the directory names no endpoint: {reason}.",
    )

    ENDPOINT_ENDED = (
        408,
        "Endpoint {endpoint} has ended, shown by: {evidence}; unfinished"
        " contents of this node: {contents}, parts of prompts: {parts}.",
    )
    CONTENT_COUNTED = (
        409,
        "Endpoints ended {ends} times under content {content}; it is refused:"
        " {refused}.",
    )

    ENDPOINT_LIMITED = (
        410,
        "The limit of {endpoint} is {limit} requests a second from all nodes,"
        " as node {source} reports.",
    )

    CONTENT_ANSWERED = (
        411,
        "{endpoint} answered {status} to content {content}, under which"
        " endpoints had ended {ends} times.",
    )

    PART_COUNTED = (
        412,
        "Endpoints ended {ends} times under part {part} of prompts; it is"
        " refused: {refused}.",
    )
    PART_PROVED = (413, "Part {part} of prompts ends no endpoint.")
    ENDPOINT_LEAVING = (
        414,
        "Answers of {endpoint} say that it is leaving: {leaving}.",
    )
    ENDPOINT_PAUSED = (
        415,
        "{endpoint} wants nothing from this node for {seconds} s, as it answers"
        " a request sent {age_ms} ms before; an earlier pause lasts:"
        " {repeated}.",
    )

    LINK_CHANGED = (
        416,
        "This node's link to {endpoint} is {state}; it reaches other endpoints:"
        " {reaches_others}.",
    )

    TUNNEL_ENDED = (
        417,
        "A connection of node {peer} to {endpoint} ended: {outcome}, {bytes}"
        " bytes.",
    )

    ANSWER_UNREAD = (
        418,
        "The attempt at {endpoint} ended before its answer began; {age_ms} ms"
        " after its start the answer is: {outcome}.",
    )

    CLAIM_DECIDED = (501, "The claim was decided: {verdict}.")
    CLAIM_WITHDRAWN = (502, "The claim is withdrawn.")
    CLAIM_UNAVAILABLE = (503, "The log did not decide the claim in time.")
    ANSWER_REPLAYED = (504, "The kept answer of {winner} was sent again.")

    CONFIG_IN_FORCE = (
        601,
        "Configuration {version} with preset {preset} is in force.",
    )
    CONFIG_FROM_PEER = (
        602,
        "Configuration {version} was taken over from node {peer}, {waited_ms}"
        " ms after this node first asked for it.",
    )
    ROLLOUT_CHANGED = (
        605,
        "The roll-out of {service} to version {target} is {phase}. {reason}",
    )
    ROLLOUT_REJECTED = (
        606,
        "The order to move {service} to version {target} was turned away:"
        " {reason}.",
    )
    CONFIG_REJECTED = (604, "A configuration was not taken: {reason}.")
    SNAPSHOT_APPENDED = (603, "A snapshot through {through} was appended.")

    MEMBER_CHANGED = (701, "Node {peer} is {state}, was {previous}.")

    NODES_UNLISTED = (
        703,
        "The list of nodes in the store lacks {missing}; a node that it lacks"
        " announces itself again.",
    )
    REVISION_KNOWN = (702, "Node {peer} has revision {revision} at least.")

    VM_LIST_REACHED = (801, "The VM list is reachable: {reachable}.")
    LOG_REACHED = (802, "The log service is reachable: {reachable}.")
    READER_CHANGED = (
        804,
        "This node reads {topic} from the store as: {role}; no peer has"
        " confirmed what it knows of the store for {silent_ms} ms.",
    )
    READ_GIVEN_UP = (
        805,
        "A read of {topic} was given up after {waited_ms} ms: its connection"
        " may be dead, and no peer would tell of a new record.",
    )
    CONFIG_CHECKED = (
        806,
        "Nobody had known the newest configuration for {age_ms} ms, so this"
        " node read it itself: {outcome}; version {version} is in force.",
    )
    RECORD_UNWRITTEN = (
        807,
        "A record of {topic} was not written: {reason}.",
    )
    STORE_RETURNED = (
        808,
        "The store has come back from an older copy, which may lack its newest"
        " records: era {era}, was {previous}.",
    )
    READ_OUTDATED = (
        809,
        "A read of {topic} was answered after {waited_ms} ms; this node has"
        " newer news from a peer and keeps it.",
    )
    STREAMS_READ = (
        803,
        "The store's records of streams were read for {requests} requests;"
        " {streams} streams were read from it so far.",
    )

    REQUEST_MALFORMED = (
        901,
        "A request was refused at once: {error}, {detail}.",
    )
    FRAME_REJECTED = (902, "Frames were rejected: {count}.")
    MESSAGE_FAILED = (
        904,
        "Messages of nodes could not be encoded or handled: {count}.",
    )
    CONNECTIONS_SCARCE = (
        905,
        "The node has no room for connections of callers: {failures} failed"
        " attempts to accept one, {closed} idle ones closed in favour of"
        " others; {open} are open, {limit} may be.",
    )
    REQUESTS_SENT_AHEAD = (
        906,
        "Callers sent more than {limit} bytes ahead while {count} of their"
        " requests were served; the rest is read later.",
    )
    LISTENER_FULL = (
        907,
        "The listener for {listener} has no room for connections: {count} times"
        " one had to wait or was refused; {open} are open, {limit} may be.",
    )
    FRAMES_GIVEN_UP = (
        908,
        "Connections of nodes were closed: {refused} without room in memory for"
        " their frame, {unfinished} whose frame did not end in time.",
    )
    UNKNOWN_RECEIVED = (
        903,
        "Node {peer}, of revision {revision} at least, sent what this build"
        " does not know: {unknown}, {count} times.",
    )

    @property
    def number(self) -> int:
        """Number of the kind."""
        return self.value[0]

    @property
    def sentence(self) -> str:
        """Text of the event, with the names of its fields in braces."""
        return self.value[1]

    @property
    def title(self) -> str:
        """Name of the kind in lower case."""
        return self.name.lower()


PARTS = {
    1: "Process",
    2: "Requests",
    3: "Grants and ownership",
    4: "Endpoints",
    5: "Claims and keys",
    6: "Configuration",
    7: "Membership",
    8: "Platform",
    9: "Input from the network",
}
"""Part of the system by the hundreds digit of an event's number."""

_BY_NUMBER = {kind.number: kind for kind in EventKind}


def by_number(number: int) -> EventKind | None:
    """Returns the kind with a number, or None if the number is unknown."""
    return _BY_NUMBER.get(number)


def page() -> str:
    """Returns the text of docs/events.md: all kinds ordered by number."""
    lines = [
        "# Events",
        "",
        "Every event of a node is a line of its log and, for a bounded time,"
        " an entry of its timeline. The number of a kind never changes its"
        " meaning. This page is generated: run"
        " `python -m baobabmux_core.catalogue > docs/events.md`.",
    ]
    for hundreds, part in PARTS.items():
        lines += ["", f"## {hundreds}xx: {part}", ""]
        lines += ["| number | name | sentence |", "| --- | --- | --- |"]
        lines += [
            f"| {kind.number} | `{kind.title}` | {kind.sentence} |"
            for kind in sorted(EventKind, key=lambda kind: kind.number)
            if kind.number // 100 == hundreds
        ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(page(), end="")
