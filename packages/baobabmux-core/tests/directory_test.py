"""Tests of the endpoint directory: outages, removals, news from peers."""

from baobabmux_core import directory, messages


def _entry(name, draining=False, born=1):
    return messages.DirectoryEntry(
        name, "drafting", "10.0.0.1:80", "col-a", 10, draining, born
    )


def _listed(*names):
    made = directory.EndpointDirectory()
    made.replace({name: _entry(name) for name in names}, 5, 100.0)
    return made


def test_removal_counts_at_once():
    """Guards against work for an endpoint that left without a notice."""
    made = _listed("a", "b")
    assert made.update({"a": None}, 6, 101.0)
    assert set(made.entries) == {"b"}
    assert made.version == 6


def test_entries_that_lapsed_in_an_outage_are_kept_until_they_return():
    """Guards against refusals because a store came back without entries."""
    made = _listed("a", "b")
    assert not made.replace({"a": _entry("a")}, 9, 105.0)
    assert set(made.entries) == {"a", "b"}
    made.update({"b": _entry("b")}, 10, 106.0)
    assert not made.sweep(110.0)
    assert set(made.entries) == {"a", "b"}


def test_node_that_alone_was_cut_off_takes_removals_at_once():
    """Guards against work for a replica that left without a notice.

    Hunt, kgw-mux trouble-1, seed 668144253372, DRAIN 10: a node that had been
    cut off from the store held the removal back and told the others that its
    list was current.
    """
    made = _listed("a", "b")
    for second in range(1, 10):
        made.confirm(5, 300, 100.0 + second)
    assert made.replace({"a": _entry("a")}, 9, 109.5)
    assert set(made.entries) == {"a"}


def test_list_with_missing_entries_is_not_called_current():
    """Guards against peers that rely on a list that is being held back."""
    made = _listed("a", "b")
    made.replace({"a": _entry("a")}, 9, 105.0)
    assert made.age_ms(105.1) == -1
    made.update({}, 9, 107.5)
    assert made.age_ms(107.6) == 100


def test_entry_that_stays_away_after_an_outage_is_gone():
    """Guards against an endpoint that ended during an outage."""
    made = _listed("a", "b")
    made.replace({"a": _entry("a")}, 9, 105.0)
    assert not made.update({}, 9, 106.0)
    assert made.update({}, 9, 107.5)
    assert set(made.entries) == {"a"}


def test_version_never_goes_back():
    """Guards against a peer with old news."""
    made = _listed("a", "b")
    made.update({"a": _entry("a", draining=True)}, 8, 101.0)
    old = messages.EndpointsState(7, 0, (_entry("a"), _entry("b")))
    assert not made.adopt(old, 102.0)
    assert made.entries["a"].draining
    assert made.adopt(messages.EndpointsState(9, 300, (_entry("b"),)), 102.0)
    assert set(made.entries) == {"b"}
    assert abs(made.age(102.0) - 0.3) < 1e-9


def test_unchanged_list_is_confirmed_without_a_new_version():
    """Guards against telling all peers about each heartbeat of an endpoint."""
    made = _listed("a")
    assert not made.update({"a": _entry("a")}, 50, 103.0)
    assert made.version == 5
    assert made.age(103.5) == 0.5
    made.confirm(5, 100, 104.0)
    assert abs(made.age(104.0) - 0.1) < 1e-9
    made.confirm(4, 0, 105.0)
    assert abs(made.age(105.0) - 1.1) < 1e-9


def test_restart_under_the_same_name_is_a_change():
    """Guards against counts of a former incarnation."""
    made = _listed("a")
    assert made.update({"a": _entry("a", born=2)}, 6, 101.0)
