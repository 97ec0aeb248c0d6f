"""Sends calls through nodes and records the outcome of each.

A `Load` owns the outcomes of the calls; its `Balancer` owns the addresses of
the nodes in use.
"""

import itertools
import json
from collections.abc import Iterable

import curio
import msgspec

from baobabmux_standins import client, ledger, workload

_MAX_SENDS = 3
_CALL_TIMEOUT_SECONDS = 120.0
# Error kinds of refusals after which a load balancer tries another node.
_LEAVING_KINDS = ("shutting_down", "not_ready")


class Balancer:
    """Chooses a node for each connection by round robin.

    This is what the platform's load balancer does.

    Attributes:
        addresses: Caller addresses of the nodes in use.
    """

    def __init__(self, addresses: Iterable[str]):
        self.addresses = list(addresses)
        self._turns = itertools.count()

    def choose(self) -> str:
        """Returns the next address in turn."""
        return self.addresses[next(self._turns) % len(self.addresses)]

    def add(self, address: str) -> None:
        """Adds an address to those in use."""
        self.addresses.append(address)

    def remove(self, address: str) -> None:
        """Removes an address from those in use, unless it is the last."""
        if address in self.addresses and len(self.addresses) > 1:
            self.addresses.remove(address)


class Load:
    """Sends calls at their planned times and keeps the outcomes.

    Attributes:
        balancer: Chooses the nodes.
        outcomes: Outcomes of the calls that have ended.
        sent: Number of calls sent.
        resent: Number of repeated sends after a refused connection or a
            refusal by a leaving node.
    """

    def __init__(self, balancer: Balancer):
        self.balancer = balancer
        self.outcomes: list[ledger.Outcome] = []
        self.sent = 0
        self.resent = 0

    async def run(self, calls: list[workload.Call]) -> None:
        """Sends calls, given in order of time, and waits for all outcomes."""
        start = await curio.clock()
        async with curio.TaskGroup() as group:
            for call in calls:
                wait = start + call.at_seconds - await curio.clock()
                await curio.sleep(max(0.0, wait))
                self.sent += 1
                await group.spawn(self._send, call)

    async def _send(self, call: workload.Call) -> None:
        for _ in range(_MAX_SENDS):
            address = self.balancer.choose()
            outcome = await send(address, call)
            if outcome.connected and outcome.kind not in _LEAVING_KINDS:
                break
            self.balancer.remove(address)
            self.resent += 1
        self.outcomes.append(outcome)


async def send(address: str, call: workload.Call) -> ledger.Outcome:
    """Sends a call to one node and returns its outcome."""
    response = await client.request(
        address,
        "POST",
        call.path,
        call.body,
        call.headers,
        _CALL_TIMEOUT_SECONDS,
    )
    return classify(call, response)


def classify(call: workload.Call, response: client.Response) -> ledger.Outcome:
    """Returns the outcome that a response means for its call."""
    is_2xx = response.complete and 200 <= response.status < 300
    problem = _find_problem(response, is_2xx)
    header_status = response.headers.get("baobabmux-run-status", "")
    return ledger.Outcome(
        marker=call.marker,
        connected=response.connected,
        answered=response.complete,
        status=response.status,
        run_status=problem.run_status or header_status,
        kind=problem.kind,
        body_matches=not is_2xx
        or bool(problem.kind)
        or matches_call(call, response.body),
    )


def matches_call(call: workload.Call, body: bytes) -> bool:
    """Returns whether a body is the complete answer to a call."""
    if not call.text:
        return _member(body, "marker") == call.marker
    events = client.parse_events(body)
    if not events:
        return _member(body, "text") == call.text
    texts = [_member(event.data.encode(), "text") for event in events]
    return events[-1].data == "[DONE]" and "".join(texts) == call.text


def _member(body: bytes, name: str) -> str:
    try:
        value = json.loads(body)
    except ValueError:
        return ""
    return str(value.get(name, "")) if isinstance(value, dict) else ""


class _Problem(msgspec.Struct):
    kind: str = ""
    run_status: str = ""


def _find_problem(response: client.Response, is_2xx: bool) -> _Problem:
    """Returns the problem details of a refusal or of a stream's last event."""
    text = response.body
    if is_2xx:
        events = client.parse_events(response.body)
        if not events or events[-1].kind != "error":
            return _Problem()
        text = events[-1].data.encode()
    try:
        return msgspec.json.decode(text, type=_Problem)
    except msgspec.DecodeError:
        return _Problem()
