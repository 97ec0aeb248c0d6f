"""Tests of the state of a node's own links to endpoints."""

from baobabmux_core import links

_REFUSED = links.Evidence.REFUSED
_SILENT = links.Evidence.SILENT


def test_lost_link_is_probed_until_a_connection_is_made():
    """Guards against a link that stays lost after it has returned."""
    table = links.LinkTable()
    assert table.failed("a", _SILENT, 10.0)
    assert not table.failed("a", _REFUSED, 10.1)
    assert table.lost_link("a") == links.LostLink(_REFUSED, 10.0)
    assert table.take_due_probes(8, 10.2) == []
    assert table.take_due_probes(8, 10.6) == ["a"]
    assert table.take_due_probes(8, 10.7) == []
    assert table.take_due_probes(8, 11.1) == ["a"]
    assert table.connected("a", 11.2)
    assert table.lost() == {}
    assert table.take_due_probes(8, 20.0) == []


def test_first_loss_probes_the_links_that_have_not_worked_recently():
    """Guards against a caller's request as the trial of each link."""
    table = links.LinkTable()
    table.connected("old", 1.0)
    table.connected("fresh", 9.9)
    table.failed("a", _SILENT, 10.0)
    assert table.take_due_probes(8, 10.0) == ["old"]


def test_return_of_one_link_probes_the_other_lost_ones():
    """Guards against links that return one interval after the other."""
    table = links.LinkTable()
    for number in range(20):
        table.failed(f"e{number}", _SILENT, 10.0)
    table.connected("e7", 10.1)
    assert len(table.take_due_probes(50, 10.1)) == 19


def test_probes_are_bounded_and_reach_every_link():
    """Guards against a node that probes hundreds of lost links at once."""
    table = links.LinkTable()
    names = {f"e{number}" for number in range(20)}
    for name in names:
        table.failed(name, _SILENT, 10.0)
    probed = []
    for step in range(3):
        due = table.take_due_probes(8, 10.5 + step / 10)
        assert len(due) <= 8
        probed += due
    assert set(probed) == names


def test_quiet_node_without_lost_links_probes_nothing():
    """Guards against probes on a day on which all links are sound."""
    table = links.LinkTable()
    for number in range(50):
        table.connected(f"e{number}", 1.0)
    assert table.take_due_probes(8, 100.0) == []


def test_node_that_reaches_no_other_endpoint_is_no_witness():
    """Guards against a node that takes its lost links for ended endpoints."""
    table = links.LinkTable()
    table.connected("a", 10.0)
    table.connected("b", 10.0)
    assert table.reaches_others("a", 10.5)
    table.failed("a", _REFUSED, 10.6)
    # The link to "b" may have been lost at the same moment.
    assert not table.reaches_others("a", 10.6)
    # Open connections may live on.
    table.answered("b", 10.7)
    assert not table.reaches_others("a", 10.7)
    table.connected("b", 10.8)
    assert table.reaches_others("a", 10.9)
    assert not table.reaches_others("a", 12.0)
    table.failed("b", _REFUSED, 12.0)
    assert not table.reaches_others("a", 12.0)


def test_links_to_former_endpoints_are_forgotten():
    """Guards against records that grow with each restart of an endpoint."""
    table = links.LinkTable()
    table.connected("a", 1.0)
    table.failed("b", _REFUSED, 1.0)
    table.keep({"c"})
    assert table.lost() == {}
    assert table.take_due_probes(8, 9.0) == []
    assert not table.reaches_others("c", 1.0)
