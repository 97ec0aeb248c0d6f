"""Tests of the endpoint directory: outages, removals, updates from peers."""

from baobabmux_core import directory, messages


def _entry(name, draining=False, born=1):
    return messages.DirectoryEntry(
        name, "drafting", "10.0.0.1:80", "col-a", 10, draining, born
    )


def _listed(*names):
    endpoints = directory.EndpointDirectory()
    endpoints.replace({name: _entry(name) for name in names}, 5, 100.0)
    return endpoints


def test_removal_applies_at_once():
    """Guards against requests sent to an endpoint that left without notice."""
    endpoints = _listed("a", "b")
    assert endpoints.update({"a": None}, 6, 101.0)
    assert set(endpoints.entries) == {"b"}
    assert endpoints.version == 6


def test_entries_that_expired_in_an_outage_are_kept_until_they_return():
    """Guards against refusals after an outage of the directory.

    The entries expire during the outage and are written again soon after it.
    """
    endpoints = _listed("a", "b")
    assert not endpoints.replace({"a": _entry("a")}, 9, 105.0)
    assert set(endpoints.entries) == {"a", "b"}
    endpoints.update({"b": _entry("b")}, 10, 106.0)
    assert not endpoints.sweep(110.0)
    assert set(endpoints.entries) == {"a", "b"}


def test_removal_applies_at_once_if_only_this_node_was_cut_off():
    """Guards against requests sent to an endpoint that left without notice.

    A node that had been cut off from the directory alone kept the removed entry
    as after an outage, and reported its list to the others as current (hunt,
    kgw-mux trouble-1, seed 668144253372, DRAIN 10).
    """
    endpoints = _listed("a", "b")
    for second in range(1, 10):
        endpoints.confirm(5, 300, 100.0 + second)
    assert endpoints.replace({"a": _entry("a")}, 9, 109.5)
    assert set(endpoints.entries) == {"a"}


def test_list_with_kept_entries_is_not_reported_as_current():
    """Guards against peers that take a list with expired entries as current."""
    endpoints = _listed("a", "b")
    endpoints.replace({"a": _entry("a")}, 9, 105.0)
    assert endpoints.age_ms(105.1) == -1
    endpoints.update({}, 9, 107.5)
    assert endpoints.age_ms(107.6) == 100


def test_entry_that_stays_missing_after_an_outage_is_removed():
    """Guards against keeping an endpoint that ended during an outage."""
    endpoints = _listed("a", "b")
    endpoints.replace({"a": _entry("a")}, 9, 105.0)
    assert not endpoints.update({}, 9, 106.0)
    assert endpoints.update({}, 9, 107.5)
    assert set(endpoints.entries) == {"a"}


def test_version_never_decreases():
    """Guards against older entries from a peer that replace newer ones."""
    endpoints = _listed("a", "b")
    endpoints.update({"a": _entry("a", draining=True)}, 8, 101.0)
    old = messages.EndpointsState(7, 0, (_entry("a"), _entry("b")))
    assert not endpoints.adopt(old, 102.0)
    assert endpoints.entries["a"].draining
    assert endpoints.adopt(
        messages.EndpointsState(9, 300, (_entry("b"),)), 102.0
    )
    assert set(endpoints.entries) == {"b"}
    assert abs(endpoints.age(102.0) - 0.3) < 1e-9


def test_unchanged_list_is_confirmed_without_a_new_version():
    """Guards against sending the list for each heartbeat of an endpoint."""
    endpoints = _listed("a")
    assert not endpoints.update({"a": _entry("a")}, 50, 103.0)
    assert endpoints.version == 5
    assert endpoints.age(103.5) == 0.5
    endpoints.confirm(5, 100, 104.0)
    assert abs(endpoints.age(104.0) - 0.1) < 1e-9
    endpoints.confirm(4, 0, 105.0)
    assert abs(endpoints.age(105.0) - 1.1) < 1e-9


def test_restart_under_the_same_name_is_a_change():
    """Guards against keeping the counts of a former incarnation."""
    endpoints = _listed("a")
    assert endpoints.update({"a": _entry("a", born=2)}, 6, 101.0)


def test_own_reads_do_not_hide_that_peers_are_silent():
    """Guards against changes that a node cut off from peers misses (CONFIG).

    It read the directory by itself each 1.2 s, and took that for news of its
    peers, who were to tell it of other topics.
    """
    endpoints = _listed("a")
    assert endpoints.peers_silent(100.0) is None
    endpoints.confirm(5, 300, 100.5)
    for second in range(1, 6):
        endpoints.update({}, 5, 100.5 + 1.2 * second)
    assert endpoints.age(106.6) < 0.5
    assert round(endpoints.peers_silent(106.6), 3) == 6.4


def test_older_news_of_a_peer_does_not_count():
    """Guards against a silence that a late heartbeat shortens or prolongs."""
    endpoints = _listed("a")
    endpoints.confirm(5, 100, 101.0)
    endpoints.confirm(5, 900, 101.1)
    endpoints.confirm(4, 0, 103.0)
    endpoints.confirm(5, -1, 103.0)
    assert round(endpoints.peers_silent(103.0), 3) == 2.1
