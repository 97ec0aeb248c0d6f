"""Pattern: several readers announce a new configuration to a node at once."""

from baobabmux_node import config_asks


def test_one_of_the_peers_that_announce_a_version_is_asked():
    """Guards against the same record from each reader, 74 times 6."""
    asks = config_asks.ConfigAsks()
    due = [asks.is_due(7, 6, 10.0 + n / 1000) for n in range(6)]
    assert due == [True] + 5 * [False]


def test_another_peer_is_asked_if_the_answer_is_lost():
    """Guards against waiting for a reader that died after its announcement."""
    asks = config_asks.ConfigAsks()
    assert asks.is_due(7, 6, 10.0)
    assert asks.is_due(7, 6, 10.2)


def test_newer_version_is_asked_for_at_once():
    """Guards against a change that waits for the one before it."""
    asks = config_asks.ConfigAsks()
    assert asks.is_due(7, 6, 10.0)
    assert asks.is_due(8, 6, 10.01)
    assert not asks.is_due(7, 6, 10.02)


def test_versions_that_are_in_force_are_not_asked_for():
    """Guards against a return to an older version."""
    asks = config_asks.ConfigAsks()
    assert not asks.is_due(6, 6, 10.0)
    assert not asks.is_due(5, 6, 10.0)
