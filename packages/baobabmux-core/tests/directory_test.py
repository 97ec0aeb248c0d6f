"""Tests of the endpoint directory: outages, removals, updates from peers."""

from hypothesis import given
from hypothesis import strategies as st

from baobabmux_core import directory, messages, positions


def _at(offset, era=1):
    return positions.Position(era, offset)


def _version(offset, era=1, revision=0):
    return positions.Version(_at(offset, era), revision).number


def _entry(name, draining=False, born=1):
    return messages.DirectoryEntry(
        name, "drafting", "10.0.0.1:80", "col-a", 10, draining, born
    )


def _listed(*names):
    endpoints = directory.EndpointDirectory()
    endpoints.replace({name: _entry(name) for name in names}, _at(5), 100.0)
    return endpoints


def test_removal_applies_at_once():
    """Guards against requests sent to an endpoint that left without notice."""
    endpoints = _listed("a", "b")
    assert endpoints.update({"a": None}, _at(6), 101.0)
    assert set(endpoints.entries) == {"b"}
    assert endpoints.version == _version(6)


def test_entries_that_expired_in_an_outage_are_kept_until_they_return():
    """Guards against refusals after an outage of the directory.

    The entries expire during the outage and are written again soon after it.
    """
    endpoints = _listed("a", "b")
    assert not endpoints.replace({"a": _entry("a")}, _at(9), 105.0)
    assert set(endpoints.entries) == {"a", "b"}
    endpoints.update({"b": _entry("b")}, _at(10), 106.0)
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
        endpoints.confirm(_version(5), 300, 100.0 + second)
    assert endpoints.replace({"a": _entry("a")}, _at(9), 109.5)
    assert set(endpoints.entries) == {"a"}


def test_list_with_kept_entries_is_not_reported_as_current():
    """Guards against peers that take a list with expired entries as current."""
    endpoints = _listed("a", "b")
    endpoints.replace({"a": _entry("a")}, _at(9), 105.0)
    assert endpoints.age_ms(105.1) == -1
    endpoints.update({}, _at(9), 107.5)
    assert endpoints.age_ms(107.6) == 100


def test_entry_that_stays_missing_after_an_outage_is_removed():
    """Guards against keeping an endpoint that ended during an outage."""
    endpoints = _listed("a", "b")
    endpoints.replace({"a": _entry("a")}, _at(9), 105.0)
    assert not endpoints.update({}, _at(9), 106.0)
    assert endpoints.update({}, _at(9), 107.5)
    assert set(endpoints.entries) == {"a"}


def test_version_never_decreases():
    """Guards against older entries from a peer that replace newer ones."""
    endpoints = _listed("a", "b")
    endpoints.update({"a": _entry("a", draining=True)}, _at(8), 101.0)
    old = messages.EndpointsState(_version(7), 0, (_entry("a"), _entry("b")))
    assert not endpoints.adopt(old, 102.0)
    assert endpoints.entries["a"].draining
    assert endpoints.adopt(
        messages.EndpointsState(_version(9), 300, (_entry("b"),)), 102.0
    )
    assert set(endpoints.entries) == {"b"}
    assert abs(endpoints.age(102.0) - 0.3) < 1e-9


def test_unchanged_list_is_confirmed_without_a_new_version():
    """Guards against sending the list for each heartbeat of an endpoint."""
    endpoints = _listed("a")
    assert not endpoints.update({"a": _entry("a")}, _at(50), 103.0)
    assert endpoints.version == _version(5)
    assert endpoints.age(103.5) == 0.5
    endpoints.confirm(_version(5), 100, 104.0)
    assert abs(endpoints.age(104.0) - 0.1) < 1e-9
    endpoints.confirm(_version(4), 0, 105.0)
    assert abs(endpoints.age(105.0) - 1.1) < 1e-9


def test_restart_under_the_same_name_is_a_change():
    """Guards against keeping the counts of a former incarnation."""
    endpoints = _listed("a")
    assert endpoints.update({"a": _entry("a", born=2)}, _at(6), 101.0)


def test_own_reads_do_not_hide_that_peers_are_silent():
    """Guards against changes that a node cut off from peers misses (CONFIG).

    It read the directory by itself each 1.2 s, and took that for news of its
    peers, who were to tell it of other topics.
    """
    endpoints = _listed("a")
    assert endpoints.peers_silent(100.0) is None
    endpoints.confirm(_version(5), 300, 100.5)
    for second in range(1, 6):
        endpoints.update({}, _at(5), 100.5 + 1.2 * second)
    assert endpoints.age(106.6) < 0.5
    assert round(endpoints.peers_silent(106.6), 3) == 6.4


def test_older_news_of_a_peer_does_not_count():
    """Guards against a silence that a late heartbeat shortens or prolongs."""
    endpoints = _listed("a")
    endpoints.confirm(_version(5), 100, 101.0)
    endpoints.confirm(_version(5), 900, 101.1)
    endpoints.confirm(_version(4), 0, 103.0)
    endpoints.confirm(_version(5), -1, 103.0)
    assert round(endpoints.peers_silent(103.0), 3) == 2.1


def _state(version, *entries):
    return messages.EndpointsState(version, 0, entries)


def test_late_read_does_not_bring_back_an_entry_that_a_peer_has_removed():
    """Guards against requests to an endpoint that has left (DRAIN, case 7).

    The answer to a starting node's first read was held up. Meanwhile the entry
    was removed, and a peer had sent the list without it.
    """
    endpoints = directory.EndpointDirectory()
    assert endpoints.adopt(_state(_version(6), _entry("b")), 100.5)
    late = {"a": _entry("a"), "b": _entry("b")}
    assert endpoints.is_outdated(_at(5), 100.0)
    assert not endpoints.replace(late, _at(5), 101.0, 100.0)
    assert not endpoints.update({"a": _entry("a")}, _at(5), 101.0, 100.0)
    assert set(endpoints.entries) == {"b"}
    assert endpoints.version == _version(6)
    assert endpoints.age(101.0) == 0.5


def test_source_that_has_gone_back_is_followed():
    """Guards against a list that no read replaces any more.

    The source gives its offsets out again without naming a new era.
    """
    endpoints = _listed("a", "b")
    assert not endpoints.is_outdated(_at(2), 100.5)
    assert endpoints.replace({"a": _entry("a")}, _at(2), 100.6, 100.5)
    assert set(endpoints.entries) == {"a"}
    assert endpoints.version > _version(5)
    assert endpoints.update({"c": _entry("c")}, _at(3), 101.0)
    assert endpoints.version > _version(5, revision=1)


def test_read_that_was_held_up_is_as_old_as_its_question():
    """Guards against a list that a node passes on as newer than it is."""
    endpoints = _listed("a")
    endpoints.update({}, _at(6), 104.0, 103.0)
    assert endpoints.age_ms(104.0) == 1000
    endpoints.update({}, _at(7), 104.5, 102.0)
    assert endpoints.age_ms(104.5) == 1500


def test_change_without_a_record_hides_no_later_record():
    """Guards against two lists under one version.

    A node that removed an entry which stayed missing counted its version up,
    to that of the next record.
    """
    endpoints = _listed("a", "b", "c")
    endpoints.replace({"a": _entry("a"), "c": _entry("c")}, _at(9), 105.0)
    assert endpoints.update({}, _at(9), 107.5)
    assert endpoints.version < _version(10)
    peer = _state(_version(10), _entry("a"))
    assert endpoints.adopt(peer, 107.6)
    assert set(endpoints.entries) == {"a"}


def _listed_before_a_drill():
    """Returns a list from which `gone` has left and which `leaving` leaves."""
    endpoints = _listed("a", "gone", "leaving")
    endpoints.update({"gone": None}, _at(6), 101.0)
    endpoints.update({"leaving": _entry("leaving", True)}, _at(7), 101.5)
    return endpoints


_COPY = tuple(_entry(name) for name in ("a", "gone", "leaving"))


def _check_leaving(endpoints):
    assert set(endpoints.entries) == {"a", "leaving"}
    assert endpoints.entries["leaving"].draining


def test_copy_of_the_directory_brings_no_endpoint_back():
    """Guards against requests to an endpoint that leaves, after a drill."""
    endpoints = _listed_before_a_drill()
    copy = {entry.name: entry for entry in _COPY}
    endpoints.replace(copy, _at(5, era=2), 103.0)
    _check_leaving(endpoints)
    # A node that starts has read the copy without any other knowledge.
    endpoints.adopt(_state(_version(6, era=2), *_COPY), 104.0)
    _check_leaving(endpoints)
    assert endpoints.version > _version(6, era=2)
    assert endpoints.update({"gone": _entry("gone")}, _at(7, era=2), 105.0)
    assert set(endpoints.entries) == {"a", "gone", "leaving"}


def test_peer_that_has_read_a_copy_brings_no_endpoint_back():
    """Guards against the same by a list that comes from a peer first."""
    endpoints = _listed_before_a_drill()
    endpoints.adopt(_state(_version(5, era=2), *_COPY), 103.0)
    _check_leaving(endpoints)
    starting = directory.EndpointDirectory()
    starting.replace({e.name: e for e in _COPY}, _at(5, era=2), 103.0)
    assert starting.adopt(endpoints.state(103.1), 103.2)
    _check_leaving(starting)


def test_entries_that_a_copy_lacks_are_kept_until_they_are_written_again():
    """Guards against refusals after a drill that takes new entries away."""
    endpoints = _listed("a", "b")
    endpoints.replace({"a": _entry("a")}, _at(4, era=2), 100.5)
    assert set(endpoints.entries) == {"a", "b"}
    endpoints.update({}, _at(4, era=2), 103.0)
    assert set(endpoints.entries) == {"a"}


def test_endpoint_that_starts_again_after_a_drill_is_listed():
    """Guards against holding what ended against its successor."""
    endpoints = _listed_before_a_drill()
    again = {name: _entry(name, born=2) for name in ("a", "gone", "leaving")}
    endpoints.replace(again, _at(5, era=2), 103.0)
    assert endpoints.entries == again


def test_what_a_copy_lists_for_long_is_believed():
    """Guards against an endpoint that one node leaves out for ever."""
    endpoints = _listed_before_a_drill()
    copy = {entry.name: entry for entry in _COPY}
    endpoints.replace(copy, _at(5, era=2), 103.0)
    endpoints.replace(copy, _at(6, era=2), 113.5)
    assert endpoints.entries == copy


def test_peers_list_does_not_undo_what_a_node_has_read_since():
    """Guards against an entry that only the peer's list still has.

    The node read its addition and its removal at once, which changed nothing.
    """
    endpoints = _listed("b")
    assert not endpoints.update({"a": None}, _at(12), 101.0)
    assert not endpoints.adopt(_state(_version(11), *map(_entry, "ab")), 101.1)
    assert set(endpoints.entries) == {"b"}
    assert endpoints.version == _version(12)


def _list_of_a_cut_off_peer():
    """Returns the list of a node that was cut off while entries expired.

    It keeps the entry of b.
    """
    peer = _listed("a", "b")
    peer.update({"b": None, "c": _entry("c")}, _at(9), 105.0)
    assert "b" in peer.entries
    return peer.state(105.0)


def test_endpoint_that_a_cut_off_peer_keeps_does_not_come_back():
    """Guards against requests to an endpoint that has left (DRAIN).

    Its entry expired while the peer was cut off. The endpoint then left without
    a report, so that no later record removes it.
    """
    endpoints = _listed("a", "b")
    endpoints.update({"b": None}, _at(7), 101.0)
    assert endpoints.adopt(_list_of_a_cut_off_peer(), 105.1)
    assert set(endpoints.entries) == {"a", "c"}
    # Other nodes, the peer among them, adopt the list without it.
    other = _listed("a", "b")
    assert other.adopt(endpoints.state(105.2), 105.2)
    assert set(other.entries) == {"a", "c"}
    assert other.version > _version(9)
    assert not other.adopt(_list_of_a_cut_off_peer(), 105.3)


def test_endpoint_whose_removal_a_peer_has_told_does_not_come_back():
    """Guards against a node that reads nothing itself (DRAIN)."""
    reader = _listed("a", "b")
    reader.update({"b": None}, _at(7), 101.0)
    endpoints = _listed("a", "b")
    assert endpoints.adopt(reader.state(101.1), 101.1)
    assert endpoints.adopt(_list_of_a_cut_off_peer(), 105.1)
    assert set(endpoints.entries) == {"a", "c"}


def test_endpoint_that_is_written_again_comes_back():
    """Guards against a sound endpoint that is left out for good."""
    endpoints = _listed("a", "b")
    endpoints.update({"b": None}, _at(7), 101.0)
    endpoints.adopt(_list_of_a_cut_off_peer(), 105.1)
    assert endpoints.update({"b": _entry("b")}, _at(10), 105.5)
    assert set(endpoints.entries) == {"a", "b", "c"}
    # The next start has the same name and another time of birth.
    endpoints.update({"b": None}, _at(11), 106.0)
    started = _entry("b", born=2)
    peer = _listed("a")
    peer.update({"a": None, "b": started}, _at(12), 106.5)
    assert peer.state(106.5).age_ms < 0
    assert endpoints.adopt(peer.state(106.5), 106.6)
    assert endpoints.entries["b"] == started


def test_entries_that_expired_for_all_are_kept_by_all():
    """Guards against refusals after an outage of the directory (RECOVER)."""
    endpoints = _listed("a", "b")
    assert endpoints.adopt(_list_of_a_cut_off_peer(), 105.1)
    assert set(endpoints.entries) == {"a", "b", "c"}


def test_change_that_an_older_build_counted_is_adopted():
    """Guards against a removal that nodes of two builds undo in turn."""
    endpoints = _listed("a", "b")
    endpoints.update({}, _at(12), 101.0)
    assert endpoints.adopt(_state(_version(5) + 1, _entry("b")), 101.1)
    assert set(endpoints.entries) == {"b"}


def test_list_of_a_build_without_eras_is_replaced_by_any_own_read():
    """Guards against an older build's offset that hides all later reads."""
    endpoints = directory.EndpointDirectory()
    assert endpoints.adopt(_state(50_000, _entry("a"), _entry("b")), 100.0)
    assert endpoints.replace({"a": _entry("a")}, _at(7, era=0), 100.5)
    assert set(endpoints.entries) == {"a"}
    assert endpoints.version > 50_000


_records = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12
)


def _apply_all(records):
    return {name: _entry(name) for name, is_listed in dict(records).items()
            if is_listed}  # fmt: skip


@given(
    _records,
    st.lists(st.tuples(st.booleans(), st.integers(0, 12), st.integers(0, 12))),
)
def test_lists_are_never_older_than_their_versions(records, answers):
    """Reads in any order, of any age, and a peer's lists between them."""
    endpoints = directory.EndpointDirectory()
    newest = -1
    for is_peer, first, last in answers:
        start, end = sorted(min(n, len(records)) for n in (first, last))
        listed = _apply_all(records[:end])
        if is_peer:
            state = _state(_version(end), *listed.values())
            endpoints.adopt(state, 100.0)
        elif start and start <= newest:
            changes = {
                name: _entry(name) if is_listed else None
                for name, is_listed in dict(records[start:end]).items()
            }
            endpoints.update(changes, _at(end), 100.0)
        else:
            endpoints.replace(listed, _at(end), 100.0)
        newest = max(newest, end)
        assert endpoints.entries == _apply_all(records[:newest])
