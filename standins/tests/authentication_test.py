"""Process tests: frames between nodes are authenticated."""

from baobabmux_standins import client, cluster, process


def _status(node):
    return client.call(node.admin, "GET", "/status").json()


def test_node_without_the_secret_is_no_member():
    """Guards against a process that takes part without the secret."""
    with cluster.Cluster() as running:
        running.start_platform(["col-a"])
        secret = running.directory / "secret"
        secret.write_text("a-secret-of-more-than-16-bytes")
        insiders = running.start_nodes(
            {"n1": "col-a", "n2": "col-a"}, secret_file=secret
        )
        (outsider,) = running.start_nodes({"n3": "col-a"})
        process.wait_until(
            lambda: all(
                _status(node)["members"] == {"n1": "live", "n2": "live"}
                for node in insiders
            ),
            "the nodes with the secret know each other only",
        )
        process.wait_until(
            lambda: _status(outsider)["members"] == {"n3": "live"},
            "the node without it is alone",
        )
