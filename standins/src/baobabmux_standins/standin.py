"""Base of all stand-ins: a protocol port, a command port, faults and counts.

A `StandIn` owns its two servers and the set of faults in force, which
`POST /faults` replaces; `GET /counts` returns what it has counted.
"""

import abc
import json
import re
from collections import Counter
from typing import Any

import curio
import msgspec

from baobabmux_standins import server

ECHOED_HEADERS = ("baobabmux-attempt", "baobabmux-request-id")
"""Header fields that an endpoint copies from the request to its answer."""

GARBAGE = b"\x00\xff garbage \r\n\r\n" * 16
"""Bytes that are not a valid HTTP response."""

_MARKER = re.compile(rb"mark-[0-9A-Za-z]+")


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of every stand-in; a command replaces the whole set.

    Attributes:
        refuse: Refuses connections.
        hang: Accepts requests and never answers them.
        slow_seconds: Delay before each answer.
        fail_status: HTTP status of all answers, 0 for none; the requests are
            not run.
    """

    refuse: bool = False
    hang: bool = False
    slow_seconds: float = 0.0
    fail_status: int = 0


class EndpointFaults(Faults, frozen=True, forbid_unknown_fields=True):
    """Faults of one answer of an engine or a plain service.

    Attributes:
        break_after: Parts of an answer after which its connection is reset,
            -1 for never. The run continues.
        stall_after: Parts of an answer after which nothing more is sent, -1
            for never.
        garbage: What is invalid in an answer: "http" (not HTTP), "length"
            (body shorter than Content-Length), "body" (invalid JSON in body
            or events), "attempt" (identifier of another attempt), "" for
            nothing.
        only: Text that a request's body must contain for these faults to
            apply, "" for all.
        times: Number of answers to which these faults apply, -1 for all.
        limit: Requests a second that all answers name as the endpoint's
            limit, "" for none.
        pause: Seconds that 503 answers to all requests name, "" for none.
        leaving: Whether all answers say that the endpoint is leaving.
        status: Status of all answers, which report a failure of the run, 0 for
            the usual one.
    """

    break_after: int = -1
    stall_after: int = -1
    garbage: str = ""
    only: str = ""
    times: int = -1
    limit: str = ""
    status: int = 0
    leaving: bool = False
    pause: str = ""


class StandIn(abc.ABC):
    """A stand-in with a port for its protocol and one for commands.

    Faults do not apply to the command port. The protocol port also answers
    /counts and /faults.

    Attributes:
        server: Serves the protocol.
        control: Serves commands.
        faults: Faults in force.
    """

    faults_type: type[Faults] = Faults

    def __init__(self):
        self.server = server.Server(self._serve)
        self.control = server.Server(self._command)
        self.faults = self.faults_type()

    @abc.abstractmethod
    async def handle(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        """Answers a request of the stand-in's protocol."""

    @abc.abstractmethod
    def counts(self) -> dict[str, Any]:
        """Returns the counters, for GET /counts."""

    async def command(
        self, request: server.Request, reply: server.Reply
    ) -> bool:
        """Answers a command that only this kind of stand-in has.

        Returns:
            False if the request is no such command and was not answered.
        """
        return False

    async def on_faults_set(self) -> None:  # noqa: B027 - a hook
        """Called after the faults were replaced."""

    async def start(self) -> None:
        """Starts to listen at both ports."""
        await self.control.start()
        await self.server.start()

    async def close(self) -> None:
        """Resets all connections and releases both ports."""
        await self.server.close()
        await self.control.close()

    def addresses(self) -> dict[str, str]:
        """Returns the addresses of both ports."""
        return {
            "address": self.server.address,
            "control": self.control.address,
        }

    async def set_faults(self, values: dict[str, Any]) -> None:
        """Replaces the faults.

        Raises:
            msgspec.ValidationError: A fault is unknown or has a wrong value.
        """
        self.faults = convert_faults(values, self.faults_type)
        if self.faults.refuse:
            await self.server.listener.refuse()
        else:
            await self.server.listener.admit()
        await self.on_faults_set()

    async def _command(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        if request.path == "/counts" and request.method == "GET":
            await reply.json(self.counts())
        elif request.path == "/faults" and request.method == "POST":
            try:
                await self.set_faults(json.loads(request.body or b"{}"))
            except (ValueError, msgspec.ValidationError) as error:
                await reply.json({"error": str(error)}, 400)
                return
            await reply.json({})
        elif not await self.command(request, reply):
            await reply.json({"error": "no such command"}, 404)

    async def _serve(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        if request.path in ("/counts", "/faults"):
            await self._command(request, reply)
            return
        if self.faults.hang:
            await wait_forever()
        if self.faults.slow_seconds:
            await curio.sleep(self.faults.slow_seconds)
        if self.faults.fail_status:
            await reply.json({"error": "fault"}, self.faults.fail_status)
            return
        await self.handle(request, reply)


def answer_fields(
    request: server.Request, faults: EndpointFaults
) -> dict[str, str]:
    """Returns the header fields of an endpoint's answer to a request."""
    fields = {
        name: value
        for name, value in request.headers.items()
        if name in ECHOED_HEADERS
    }
    if faults.limit:
        fields["baobabmux-request-limit"] = faults.limit
    return fields


class RunCounter:
    """Counts runs by attempt, by request and by marker in the body."""

    def __init__(self):
        self._started: dict[str, Counter[str]] = {
            "by_attempt": Counter(),
            "by_request": Counter(),
            "by_marker": Counter(),
        }
        self._finished: Counter[str] = Counter()
        self._totals: Counter[str] = Counter()

    def start(self, request: server.Request) -> str:
        """Counts the start of a run and returns the marker in its body."""
        marker = find_marker(request.body)
        names = {
            "by_attempt": request.headers.get("baobabmux-attempt", ""),
            "by_request": request.headers.get("baobabmux-request-id", ""),
            "by_marker": marker,
        }
        for kind, name in names.items():
            if name:
                self._started[kind][name] += 1
        self._totals["started"] += 1
        return marker

    def end(self, marker: str, end_reason: str) -> None:
        """Counts the end of a run by its reason, such as "finished"."""
        self._totals[end_reason] += 1
        if end_reason == "finished" and marker:
            self._finished[marker] += 1

    def counts(self) -> dict[str, Any]:
        """Returns totals of starts and end reasons, and counts by name."""
        return {
            "totals": dict(self._totals),
            "finished_by_marker": dict(self._finished),
            **{kind: dict(names) for kind, names in self._started.items()},
        }


class FaultBudget:
    """Decides to which answers of an endpoint its faults apply."""

    def __init__(self):
        self._remaining_answers = 0

    def set(self, faults: EndpointFaults) -> None:
        """Resets the number of answers that are still to be faulty."""
        self._remaining_answers = faults.times

    def take(self, faults: EndpointFaults, body: bytes) -> EndpointFaults:
        """Returns the faults of the answer to a request with this body.

        Faults other than none decrement the number of faulty answers left.
        """
        no_faults = EndpointFaults()
        has_faults = (
            faults.break_after,
            faults.stall_after,
            faults.garbage,
        ) != (
            no_faults.break_after,
            no_faults.stall_after,
            no_faults.garbage,
        )
        if (
            not has_faults
            or faults.only.encode() not in body
            or self._remaining_answers == 0
        ):
            return no_faults
        self._remaining_answers -= 1
        return faults


def echo_fields(echo: server.Headers, faults: EndpointFaults) -> server.Headers:
    """Returns the copied header fields, altered by the fault "attempt"."""
    if faults.garbage != "attempt":
        return echo
    return {**echo, "baobabmux-attempt": "another-attempt"}


async def send_faulty(
    reply: server.Reply,
    body: bytes,
    echo: server.Headers,
    faults: EndpointFaults,
    status: int = 200,
) -> None:
    """Sends a JSON answer in two parts and applies faults to it."""
    if faults.garbage == "http":
        await reply.raw(GARBAGE)
    if faults.break_after == 0:
        raise server.HangUp(reset=True)
    if faults.stall_after == 0:
        await wait_forever()
    if faults.garbage == "body":
        body = b"{" + body
    fields = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        **echo_fields(echo, faults),
    }
    await reply.start(status, fields)
    middle = len(body) // 2
    await reply.write(body[:middle])
    if faults.break_after > 0 or faults.garbage == "length":
        raise server.HangUp(reset=faults.break_after > 0)
    if faults.stall_after > 0:
        await wait_forever()
    await reply.write(body[middle:])
    await reply.end()


async def wait_forever() -> None:
    """Blocks the task until it is cancelled."""
    await curio.Event().wait()


def convert_faults(values: dict[str, Any], kind: type[Faults]) -> Faults:
    """Returns a validated set of faults; raises msgspec.ValidationError."""
    return msgspec.convert(values, kind)


def find_marker(body: bytes) -> str:
    """Returns the first marker, such as `mark-t7`, in a body, or ""."""
    match = _MARKER.search(body)
    return match[0].decode("ascii") if match else ""
