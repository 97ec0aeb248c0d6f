"""Tests of the shares of descriptors."""

import pytest

from baobabmux_node import sockets


@pytest.mark.parametrize(
    ("descriptors", "connections"), [(16_000, 64), (160, 10), (1, 1)]
)
def test_listener_takes_no_more_than_its_share(descriptors, connections):
    """Guards against listeners that leave no descriptor to endpoints."""
    share = 1 / 16
    assert sockets.spare_connections(64, descriptors, share) == connections
