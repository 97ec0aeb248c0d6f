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


def _storm(answer_seconds, gap_seconds, seconds=5.0):
    """Returns asks, and the most answers on their way, in a storm of changes.

    Twenty heartbeats a second name the newest version; each answer brings the
    version of the peer at the time of the ask.
    """
    asks = config_asks.ConfigAsks()
    own = made = most = 0
    due: list[tuple[float, int]] = []
    for step in range(round(seconds * 20)):
        now = 10.0 + step / 20
        newest = 1 + round((now - 10.0) // gap_seconds)
        arrived = [version for at, version in due if at <= now]
        due = [(at, version) for at, version in due if at > now]
        own = max([own, *arrived])
        if asks.is_due(newest, own, now):
            made += 1
            due.append((now + answer_seconds, newest))
        most = max(most, len(due))
    return made, most


def test_storm_of_changes_does_not_fill_a_slow_link():
    """Guards against changes that are late by many seconds (CONFIG).

    A change each 0.185 s was asked for at once, and again each 0.1 s, while
    an answer took 0.6 s: up to eight answers filled the links at a time, and
    the next changes waited behind them.
    """
    made, most = _storm(answer_seconds=0.6, gap_seconds=0.185)
    assert most <= 4
    assert made <= 30


def test_fast_answers_bring_each_change():
    """Guards against versions that are skipped without need."""
    made, _ = _storm(answer_seconds=0.04, gap_seconds=0.185)
    assert made >= 5.0 / 0.185 - 1


def test_wait_for_an_answer_is_known():
    """Guards against slow transfers that the log does not show."""
    asks = config_asks.ConfigAsks()
    asks.is_due(7, 6, 10.0)
    asks.is_due(7, 6, 10.2)
    assert round(asks.waited_seconds(10.5), 3) == 0.5
    assert not asks.is_due(7, 7, 10.6)
    assert asks.waited_seconds(10.7) == 0.0
