"""Process tests: orders to endpoints, sent by the holder of a lease."""

from baobabmux_standins import client, process, testbed

NODES = {"n1": "col-a", "n2": "col-a"}
ENDPOINTS = {"e1": "col-a", "desk1": "col-a"}


def _orders_state(bed):
    address = bed.endpoints["e1"].address
    return client.call(address, "GET", "/v1/orders").json()


def _order(bed, version):
    result = bed.cluster.ctl(
        "order", "e1", "load-model", "wording", version,
        "--log", bed.cluster.log.address,
    )  # fmt: skip
    assert result.returncode == 0, result.stderr


def _loaded(bed):
    return {(o["name"], o["version"]) for o in _orders_state(bed)["loaded"]}


def test_new_lease_holder_sends_orders_after_the_old_one_was_killed():
    """Guards against desired state that is lost with the lease's holder.

    The node that has sent the first order is killed. The new holder must send
    the next order with a higher fencing token.
    """
    with testbed.Testbed(NODES, ENDPOINTS) as bed:
        _order(bed, "v1")
        process.wait_until(
            lambda: _loaded(bed) == {("wording", "v1")}, "v1 is loaded"
        )
        first_fence = _orders_state(bed)["fence"]
        # The node writes its log lines shortly after the event.
        (holder,) = process.wait_until(
            lambda: [
                name
                for name, node in bed.cluster.nodes.items()
                if "order_sent" in node.process.tail()
            ],
            "a node logs that it has sent the order",
        )
        bed.cluster.kill_node(bed.node(holder))
        _order(bed, "v2")
        process.wait_until(
            lambda: _loaded(bed) == {("wording", "v2")}, "v2 is loaded"
        )
        state = _orders_state(bed)
        assert state["fence"] > first_fence
        fences = [order["fence"] for order in state["orders"]]
        assert fences == sorted(fences)
