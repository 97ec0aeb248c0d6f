"""Tests of messages for groups that a node does not own yet."""

from baobabmux_core import early_messages, messages


def _ask(request, group="pool@cell"):
    return messages.Ask(group, request, 0, 1, -1, 10, 10, (), 7)


def test_recent_messages_of_the_group_are_returned_with_their_senders():
    """Guards against asks that are lost while ownership changes."""
    early = early_messages.EarlyMessages()
    register = messages.Register("pool@cell", ())
    early.add(_ask("old"), "n1", 10.0)
    early.add(_ask("new"), "n2", 12.5)
    early.add(_ask("other", "side@cell"), "n2", 12.5)
    early.add(register, "n3", 12.6)
    kept = list(early.of_group("pool@cell", 13.5))
    assert kept == [("n2", _ask("new")), ("n3", register)]


def test_asks_are_counted_by_group_until_they_are_taken():
    """Guards against an unnoticed node that others take for an owner."""
    early = early_messages.EarlyMessages()
    for number in range(3):
        early.add(_ask(f"r{number}"), "n1", 10.0)
    early.add(messages.Register("pool@cell", ()), "n1", 10.0)
    assert early.take_asked() == {"pool@cell": 3}
    assert early.take_asked() == {}
    assert early.asks == 3


def test_kept_messages_are_bounded():
    """Guards against memory that grows while peers ask the wrong node."""
    early = early_messages.EarlyMessages()
    for number in range(5000):
        early.add(_ask(f"r{number}"), "n1", 10.0)
    assert len(list(early.of_group("pool@cell", 10.0))) == 1000
    assert early.asks == 5000
