"""Process tests: frames between nodes are authenticated."""

from baobabmux_standins import client, cluster, process


def _status(node):
    return client.call(node.admin, "GET", "/status").json()


def test_node_without_the_secret_is_not_a_member():
    """Guards against a node that becomes a member without the secret.

    Two nodes share the secret; the third is in the VM list but has none.
    """
    with cluster.Cluster() as deployment:
        deployment.start_platform(["col-a"])
        secret = deployment.directory / "secret"
        secret.write_text("a-secret-of-more-than-16-bytes")
        members = deployment.start_nodes(
            {"n1": "col-a", "n2": "col-a"}, secret_file=secret
        )
        (outsider,) = deployment.start_nodes({"n3": "col-a"})
        process.wait_until(
            lambda: all(
                _status(node)["members"] == {"n1": "live", "n2": "live"}
                for node in members
            ),
            "the nodes with the secret list only each other",
        )
        process.wait_until(
            lambda: _status(outsider)["members"] == {"n3": "live"},
            "the node without the secret lists only itself",
        )
