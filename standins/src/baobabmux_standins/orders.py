"""Orders to an engine stand-in: load a model or adapter, change its role.

An `OrderBook` owns the orders that an engine has accepted.
"""

import http
from typing import Any

import msgspec

KINDS = ("load_model", "load_adapter", "set_role")


class Order(msgspec.Struct, frozen=True):
    """One order.

    Attributes:
        kind: One of `KINDS`.
        name: Name of the model, adapter or role.
        version: Version of the model or adapter.
        fence: Fencing token of the sender's lease.
    """

    kind: str
    name: str
    version: str | int = ""
    fence: int = -1


class OrderBook:
    """Orders that an engine has accepted, in order of arrival.

    Args:
        checks_fencing: Whether to refuse an order whose fencing token is
            lower than the highest one accepted.
    """

    def __init__(self, checks_fencing: bool):
        self._checks_fencing = checks_fencing
        self._accepted: list[Order] = []
        self._refused = 0

    def accept(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Accepts or refuses an order; returns the HTTP status and answer."""
        try:
            order = msgspec.json.decode(body, type=Order)
        except msgspec.DecodeError as error:
            return http.HTTPStatus.BAD_REQUEST, {"error": str(error)}
        if order.kind not in KINDS:
            return http.HTTPStatus.BAD_REQUEST, {"error": "unknown kind"}
        if self._checks_fencing and order.fence < self.highest_fence():
            self._refused += 1
            answer = {
                "error": "old fence",
                "fence": self.highest_fence(),
            }
            return http.HTTPStatus.CONFLICT, answer
        self._accepted.append(order)
        return http.HTTPStatus.OK, {"fence": order.fence}

    def highest_fence(self) -> int:
        """Returns the highest fencing token accepted, or -1 without any."""
        return max((order.fence for order in self._accepted), default=-1)

    def state(self) -> dict[str, Any]:
        """Returns what is loaded, the accepted orders and refusals."""
        last = {_replacement_key(order): order for order in self._accepted}
        return {
            "fence": self.highest_fence(),
            "refused": self._refused,
            "loaded": msgspec.to_builtins(list(last.values())),
            "orders": msgspec.to_builtins(self._accepted),
        }


def _replacement_key(order: Order) -> tuple[str, str]:
    """Returns a key that an order shares with the earlier one it replaces.

    An engine has one model, one role and any number of adapters.
    """
    return order.kind, order.name if order.kind == "load_adapter" else ""
