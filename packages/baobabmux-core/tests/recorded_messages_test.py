"""Tests against messages and schemas that landed builds have recorded.

`data/revision-N.json` was written by the code of revision N, see
`baobabmux_bench.wire_record`. No older build runs here.
"""

import base64
import json
import pathlib
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from baobabmux_core import errors, messages, revisions, states

_DATA = pathlib.Path(__file__).parent / "data"
_ADVICE = (
    "append a field with a default or add a message with a new tag and `since`"
    " (docs/decisions/0014-revisions-of-messages.md)"
)
# Fields that were renamed: their position and meaning are the same.
_RENAMED = {
    "heard": "received_sequence",
    "heard_incarnation": "received_incarnation",
}
_SIMPLE_TYPES = {
    "float": float,
    "str": str,
    "bytes": bytes,
    "bool": bool,
    "none": None,
}
# A frame of its own may be rejected by builds before this revision.
_ASSUMED = 4


def _read(revision):
    return json.loads((_DATA / f"revision-{revision}.json").read_text())


_RECORDED = {revision: _read(revision) for revision in revisions.LANDED}


class _OldBuild:
    """Decoder of a landed revision, built from its recorded schema."""

    def __init__(self, recorded):
        self._described = recorded["structs"]
        self._types = {}
        self.codes = recorded["codes"]
        self.decoder = msgspec.msgpack.Decoder(self._type(["struct", "Frame"]))

    def _type(self, described):
        match described:
            case ["int", low, high]:
                limits = msgspec.Meta(ge=low, le=high)
                return typing.Annotated[int, limits]
            case ["array", item]:
                return tuple[self._type(item), ...]
            case ["union", *items]:
                return typing.Union[tuple(map(self._type, items))]  # noqa: UP007
            case ["struct", name]:
                return self._struct(name)
            case [name]:
                return _SIMPLE_TYPES[name]
        raise AssertionError(f"unknown description {described}")

    def _struct(self, name):
        if name not in self._types:
            described = self._described[name]
            self._types[name] = msgspec.defstruct(
                name,
                [
                    (field, self._type(type_))
                    if required
                    else (field, self._type(type_), msgspec.field(default=None))
                    for field, type_, required in described["fields"]
                ],
                tag=described["tag"],
                array_like=True,
                frozen=True,
            )
        return self._types[name]

    def accepts(self, sent):
        """Returns whether a frame is decoded and holds known codes only."""
        frame = messages.Frame("n1", 5, 7, 9, sent)
        try:
            decoded = self.decoder.decode(messages.encode_frame(frame))
        except msgspec.ValidationError:
            return False
        return all(
            getattr(message, field, codes[0]) in codes
            for message in decoded.messages
            for field, codes in self.codes.items()
        )


_OLD_BUILDS = {
    revision: _OldBuild(recorded) for revision, recorded in _RECORDED.items()
}


def _values(message):
    """Returns the values of a message without its tag, bytes as base64."""
    return json.loads(msgspec.json.encode(message))[1:]


def _begins_with(values, recorded):
    """Returns whether values equal recorded ones, except appended fields."""
    if not isinstance(recorded, list) or not isinstance(values, list):
        return values == recorded
    return len(values) >= len(recorded) and all(
        map(_begins_with, values, recorded)
    )


def _is_compatible(now, then):
    """Returns whether a type takes the place of a recorded one."""
    if now[0] != then[0]:
        return False
    if now[0] == "array":
        return _is_compatible(now[1], then[1])
    if now[0] == "union":
        return len(now) >= len(then) and all(
            map(_is_compatible, now[1:], then[1:])
        )
    return now[0] == "int" or now == then


def _current_structs():
    described = {}
    _describe(msgspec.inspect.type_info(messages.Frame), described)
    return described


def _describe(info, structs):
    match info:
        case msgspec.inspect.IntType():
            return ["int"]
        case msgspec.inspect.VarTupleType():
            return ["array", _describe(info.item_type, structs)]
        case msgspec.inspect.UnionType():
            return ["union", *(_describe(t, structs) for t in info.types)]
        case msgspec.inspect.StructType():
            fields = [
                [f.name, _describe(f.type, structs), f.required]
                for f in info.fields
            ]
            name = info.cls.__name__
            structs[name] = {"tag": info.tag, "fields": fields}
            return ["struct", name]
    return [type(info).__name__.removesuffix("Type").lower()]


def _differences(revision):
    """Returns one line for each change that breaks a recorded struct."""
    current = _current_structs()
    for name, then in _RECORDED[revision]["structs"].items():
        now = current.get(name)
        if now is None or now["tag"] != then["tag"]:
            yield f"{name} of revision {revision} has changed its tag"
            continue
        known = len(then["fields"])
        if len(now["fields"]) < known:
            yield f"{name} of revision {revision} has lost a field"
        for old, new in zip(then["fields"], now["fields"], strict=False):
            is_renamed = _RENAMED.get(old[0], old[0]) != new[0]
            # The types of messages have checks of their own.
            is_checked = (name, new[0]) == ("Frame", "messages")
            if is_renamed or not (is_checked or _is_compatible(new[1], old[1])):
                yield f"{name}.{old[0]} of revision {revision} has changed"
        for new in now["fields"][known:]:
            if new[2]:
                yield f"{name}.{new[0]} has no default for revision {revision}"


@pytest.mark.parametrize("revision", revisions.LANDED)
def test_each_landed_revision_is_recorded(revision):
    """Guards against a landing without a record of what it sends."""
    recorded = _RECORDED[revision]
    assert recorded["revision"] == revision
    assert recorded["commit"] == revisions.LANDED[revision]


@pytest.mark.parametrize("revision", revisions.LANDED)
def test_messages_of_landed_builds_have_the_same_fields(revision):
    """Guards against a change of a message that a landed build cannot read."""
    broken = list(_differences(revision))
    assert not broken, f"{'; '.join(broken)}: {_ADVICE}"


@pytest.mark.parametrize("revision", revisions.LANDED)
def test_messages_declare_the_revision_they_exist_since(revision):
    """Guards against a new message that is sent to builds without it."""
    declared = {
        item.__name__
        for item in messages.MESSAGE_TYPES.values()
        if item.since <= revision
    }
    wrong = declared ^ set(_RECORDED[revision]["messages"])
    assert not wrong, (
        f"`since` of {sorted(wrong)} does not fit revision {revision}: new"
        f" messages declare `since: ClassVar[int] = {revisions.CURRENT}`"
    )


@pytest.mark.parametrize("revision", revisions.LANDED)
def test_frames_of_landed_builds_decode(revision):
    """Guards against messages of an older build that are lost or misread."""
    for frame in _RECORDED[revision]["frames"]:
        received = messages.receive_frame(base64.b64decode(frame["data"]))
        assert received.unknown == ()
        decoded = received.frame.messages
        for message, (name, values) in zip(
            decoded, frame["messages"], strict=True
        ):
            assert type(message).__name__ == name
            assert _begins_with(_values(message), values), (
                f"{name} of revision {revision} is misread: {_ADVICE}"
            )


_CODES = {
    "kind": [item.value for item in errors.ErrorKind],
    "status": [item.value for item in states.RunStatus],
    "outcome": [item.code for item in states.Outcome],
}


def _strategy(info, name=""):
    """Returns a strategy for values of a type."""
    inspect = msgspec.inspect
    match info:
        case _ if name in _CODES:
            return st.sampled_from(_CODES[name])
        case inspect.IntType():
            return st.integers(0, 2**32)
        case inspect.FloatType():
            return st.floats(0, 1e6)
        case inspect.StrType():
            return st.text(max_size=5)
        case inspect.BytesType():
            return st.binary(max_size=5)
        case inspect.BoolType():
            return st.booleans()
        case inspect.NoneType():
            return st.none()
        case inspect.VarTupleType():
            return st.lists(_strategy(info.item_type), max_size=2).map(tuple)
        case inspect.UnionType():
            return st.one_of([_strategy(item) for item in info.types])
        case inspect.StructType():
            return st.builds(
                info.cls,
                **{f.name: _strategy(f.type, f.name) for f in info.fields},
            )
    raise AssertionError(f"no values of {info}")


_MESSAGES = st.one_of(
    [
        _strategy(msgspec.inspect.type_info(item))
        for item in messages.MESSAGE_TYPES.values()
    ]
)
_REVISIONS = st.sampled_from(list(revisions.LANDED))


_CODED = [messages.Refusal("n1-1", kind, 500) for kind in _CODES["kind"]] + [
    messages.Release("g", "n1-1", "e", outcome, -1, 0, 0, 0)
    for outcome in _CODES["outcome"]
]


@pytest.mark.parametrize("revision", revisions.LANDED)
@pytest.mark.parametrize("states_revision", [True, False])
def test_peer_accepts_all_codes(revision, states_revision):
    """Guards against a code that ends an older build or its frames."""
    peers = revisions.PeerRevisions()
    if states_revision:
        stated = messages.Heartbeat(False, 1, revision=revision)
        peers.record(messages.Frame("old", 1, 1, 1, (stated,)))
    for message in _CODED:
        for sent in peers.frames("old", (message,)):
            assert _OLD_BUILDS[revision].accepts(sent), (
                f"a node of revision {revision} rejects {sent}: replace the"
                " code in `for_revision` of the message"
            )


@hypothesis.given(_REVISIONS, st.lists(_MESSAGES, max_size=6))
def test_peer_of_a_known_revision_accepts_all_frames(revision, queued):
    """Guards against a frame that a build of that revision would reject."""
    stated = messages.Heartbeat(False, 1, revision=revision)
    peers = revisions.PeerRevisions()
    peers.record(messages.Frame("old", 1, 1, 1, (stated,)))
    for sent in peers.frames("old", tuple(queued)):
        # Nothing is proved of revisions 1 to 3 that tells them from 4.
        alone = len(sent) == 1 and revision < sent[0].since <= _ASSUMED
        assert alone or _OLD_BUILDS[revision].accepts(sent), (
            f"a node of revision {revision} rejects {sent}: replace what it"
            " does not know in `for_revision` of the message"
        )


@hypothesis.given(_REVISIONS, st.lists(_MESSAGES, max_size=6))
def test_peer_that_states_no_revision_accepts_shared_frames(revision, queued):
    """Guards against a frame of several messages that an old build rejects."""
    peers = revisions.PeerRevisions()
    for sent in peers.frames("old", tuple(queued)):
        alone = len(sent) == 1 and revision < sent[0].since <= _ASSUMED
        assert alone or _OLD_BUILDS[revision].accepts(sent), (
            f"a node of revision {revision} rejects {sent}: replace what it"
            " does not know in `for_revision` of the message"
        )


@hypothesis.given(_REVISIONS, _MESSAGES)
def test_messages_survive_an_old_build(revision, message):
    """Guards against fields that an older build reads as others."""
    old = _OLD_BUILDS[revision]
    sent = message.for_revision(revision)
    hypothesis.assume(sent is not None)
    frame = messages.Frame("n1", 5, 7, 9, (sent,))
    decoded = old.decoder.decode(messages.encode_frame(frame))
    back = messages.decode_frame(msgspec.msgpack.encode(decoded))
    assert len(back.messages) == 1
    assert type(back.messages[0]) is type(sent)
    values = json.loads(msgspec.json.encode(decoded.messages[0]))[1:]
    assert _begins_with(_values(sent), values)
