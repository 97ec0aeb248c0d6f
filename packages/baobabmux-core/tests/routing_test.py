"""Tests of the selection of route and service."""

from baobabmux_core import declarations, routing


def _route(path, host="", **fields):
    return declarations.Route(
        path=path, host=host, service="desk", tier="tender", **fields
    )


def _match(routes, host, path):
    found = routing.RouteTable(routes).match(host, path)
    return found and found[0]


def test_longest_prefix_of_the_host_wins():
    """Guards against a match with a shorter prefix or another host's route."""
    routes = {
        "any": _route("/a/"),
        "short": _route("/a/", "x.example"),
        "long": _route("/a/b/", "x.example"),
        "other": _route("/a/b/c/", "y.example"),
    }
    assert _match(routes, "x.example", "/a/b/c/d") == "long"
    assert _match(routes, "X.example:80", "/a/c") == "short"
    assert _match(routes, "z.example", "/a/b/c") == "any"


def test_prefix_ends_at_a_slash():
    """Guards against a prefix "/b" that matches the path "/bc"."""
    routes = {"slash": _route("/a/"), "bare": _route("/b")}
    assert _match(routes, "", "/ab") is None
    assert _match(routes, "", "/a") is None
    assert _match(routes, "", "/b") == "bare"
    assert _match(routes, "", "/b/c") == "bare"
    assert _match(routes, "", "/bc") is None


def test_split_follows_the_weights_and_the_request():
    """Guards against a split that ignores its weights or the request.

    The same request must always go to the same service.
    """
    splits = (declarations.Split("new", 1.0), declarations.Split("old", 9.0))
    route = _route("/a/", splits=splits)
    chosen = [routing.choose_service(route, f"r{n}") for n in range(2000)]
    assert 150 <= chosen.count("new") <= 250
    assert routing.choose_service(route, "r7") == chosen[7]
    assert routing.choose_service(_route("/a/"), "r7") == "desk"
