"""Process tests: orders to endpoints under a lease."""

from baobabmux_standins import client, process, testbed

NODES = {"n1": "col-a", "n2": "col-a"}
ENDPOINTS = {"e1": "col-a", "desk1": "col-a"}


def _state(bed):
    address = bed.endpoints["e1"].address
    return client.call(address, "GET", "/v1/orders").json()


def _order(bed, version):
    done = bed.cluster.ctl(
        "order", "e1", "load-model", "wording", version,
        "--log", bed.cluster.log.address,
    )  # fmt: skip
    assert done.returncode == 0, done.stderr


def _loaded(bed):
    return {(o["name"], o["version"]) for o in _state(bed)["loaded"]}


def test_new_holder_continues_after_the_old_one_was_killed():
    """Guards against desired state that is lost with the lease's holder."""
    with testbed.Testbed(NODES, ENDPOINTS) as bed:
        _order(bed, "v1")
        process.wait_until(
            lambda: _loaded(bed) == {("wording", "v1")}, "v1 is loaded"
        )
        first = _state(bed)["fence"]
        # Lines are written a moment after the event.
        (holder,) = process.wait_until(
            lambda: [
                name
                for name, node in bed.cluster.nodes.items()
                if "order_sent" in node.process.tail()
            ],
            "a node logs the order",
        )
        bed.cluster.kill_node(bed.node(holder))
        _order(bed, "v2")
        process.wait_until(
            lambda: _loaded(bed) == {("wording", "v2")}, "v2 is loaded"
        )
        state = _state(bed)
        assert state["fence"] > first
        fences = [order["fence"] for order in state["orders"]]
        assert fences == sorted(fences)
