"""Orders to an engine: load a model or an adapter, change its role."""

import http
from typing import Any

import msgspec

KINDS = ("load_model", "load_adapter", "set_role")


class Order(msgspec.Struct, frozen=True):
    """One order.

    Attributes:
        kind: One of `KINDS`.
        name: Model, adapter or role.
        version: Its version.
        fence: Fencing token of the sender's lease.
    """

    kind: str
    name: str
    version: str | int = ""
    fence: int = -1


class OrderBook:
    """Orders that an engine has taken, in order of arrival.

    Args:
        checks_fencing: Whether orders with an older token are refused.
    """

    def __init__(self, checks_fencing: bool):
        self._checks_fencing = checks_fencing
        self._taken: list[Order] = []
        self._refused = 0

    def take(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Takes or refuses an order; returns the HTTP status and answer."""
        try:
            order = msgspec.json.decode(body, type=Order)
        except msgspec.DecodeError as error:
            return http.HTTPStatus.BAD_REQUEST, {"error": str(error)}
        if order.kind not in KINDS:
            return http.HTTPStatus.BAD_REQUEST, {"error": "unknown kind"}
        if self._checks_fencing and order.fence < self.highest_fence():
            self._refused += 1
            state = {"error": "old fence", "fence": self.highest_fence()}
            return http.HTTPStatus.CONFLICT, state
        self._taken.append(order)
        return http.HTTPStatus.OK, {"fence": order.fence}

    def highest_fence(self) -> int:
        """Returns the newest fencing token seen, or -1."""
        return max((order.fence for order in self._taken), default=-1)

    def state(self) -> dict[str, Any]:
        """Returns what is loaded and all orders taken."""
        last = {_replaces(order): order for order in self._taken}
        return {
            "fence": self.highest_fence(),
            "refused": self._refused,
            "loaded": msgspec.to_builtins(list(last.values())),
            "orders": msgspec.to_builtins(self._taken),
        }


def _replaces(order: Order) -> tuple[str, str]:
    """Returns what an order replaces: one model, one role, many adapters."""
    return order.kind, order.name if order.kind == "load_adapter" else ""
