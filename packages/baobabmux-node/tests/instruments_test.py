"""Tests that the metrics of a node read as prometheus_client writes them."""

import prometheus_client
import pytest

from baobabmux_node import instruments

_OBSERVED = (0.00001, 0.05, 0.2, 1.0, 70.0)
_BOUNDS = (0.05, 0.2, 1, 60)


def test_page_is_the_same_as_that_of_prometheus_client():
    """Guards against dashboards that break with a change of the page.

    Labels hold quotes and spaces; one value lies on a bucket's bound, one is
    over the last.
    """
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.disable_created_metrics()
    theirs = (
        prometheus_client.Counter("n_calls", "Calls", registry=registry),
        prometheus_client.Counter(
            "n_ends", "Ends", ["how", "of"], registry=registry
        ),
        prometheus_client.Gauge("n_level", "Level", registry=registry),
        prometheus_client.Histogram(
            "n_seconds", "Time", ["tier"], registry=registry, buckets=_BOUNDS
        ),
    )
    ours = (
        instruments.Counter("n_calls", "Calls", ()),
        instruments.Counter("n_ends", "Ends", ("how", "of")),
        instruments.Gauge("n_level", "Level", ()),
        instruments.Histogram("n_seconds", "Time", ("tier",), _BOUNDS),
    )
    for calls, ends, level, seconds in (theirs, ours):
        calls.inc()
        calls.inc(2.5)
        ends.labels('a "quoted" one', "x").inc()
        ends.labels("a", "y").inc(3)
        level.set(-4)
        for value in _OBSERVED:
            seconds.labels("gold").observe(value)
    page = instruments.page(instruments.registry(ours))
    assert page == prometheus_client.generate_latest(registry)
    ours[1].clear()
    assert b"quoted" not in instruments.page(instruments.registry(ours))


def test_wrong_number_of_labels_is_an_error():
    """Guards against values that no dashboard finds."""
    counter = instruments.Counter("n_ends", "Ends", ("how", "of"))
    with pytest.raises(ValueError, match="n_ends"):
        counter.labels("a")
