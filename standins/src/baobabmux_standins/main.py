"""Runs one stand-in, or a host for several, until the process is ended.

`python -m baobabmux_standins.main KIND [--options JSON]` prints one JSON line
with its addresses, whose ports the operating system chooses. The kind "host"
starts without stand-ins; `POST /standins` with
`{"kind": ..., "options": {...}}` adds one.
"""

import json
import sys
from typing import Any

import curio
import msgspec
from absl import app, flags

from baobabmux_standins import (
    engine,
    log,
    plain,
    relay,
    server,
    standin,
    vms,
    weights,
)

_OPTIONS = flags.DEFINE_string(
    "options", "{}", "Arguments of the stand-in as a JSON object."
)

KINDS: dict[str, type[standin.StandIn]] = {
    "engine": engine.Engine,
    "log": log.Log,
    "plain": plain.Plain,
    "relay": relay.Relay,
    "vms": vms.VmList,
    "weights": weights.Weights,
}


class HostedKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A command to add a stand-in to a host."""

    kind: str
    options: dict[str, Any] = {}


class Host:
    """Starts stand-ins in this process on command.

    Attributes:
        server: Serves the commands.
    """

    def __init__(self):
        self.server = server.Server(self._command)
        self._hosted: list[standin.StandIn] = []

    async def add(self, requested: HostedKind) -> standin.StandIn:
        """Starts a stand-in.

        Raises:
            KeyError: There is no such kind.
            TypeError: The kind has no such option.
        """
        added = KINDS[requested.kind](**requested.options)
        await added.start()
        self._hosted.append(added)
        return added

    async def _command(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        if (request.method, request.path) != ("POST", "/standins"):
            await reply.json({"error": "no such command"}, 404)
            return
        try:
            requested = msgspec.json.decode(request.body, type=HostedKind)
            added = await self.add(requested)
        except (msgspec.DecodeError, KeyError, TypeError) as error:
            await reply.json({"error": repr(error)}, 400)
            return
        await reply.json(added.addresses())


def _print_addresses(kind: str, addresses: dict[str, str]) -> None:
    print(json.dumps({"kind": kind, **addresses}), flush=True)


async def _run(kind: str, options: dict[str, Any]) -> None:
    host = Host()
    if kind == "host":
        await host.server.start()
        address = host.server.address
        _print_addresses(kind, {"address": address, "control": address})
    else:
        started = await host.add(HostedKind(kind, options))
        _print_addresses(kind, started.addresses())
    await standin.wait_forever()


def main(arguments: list[str]) -> int:
    """Runs a stand-in; returns the exit code, 2 for wrong arguments."""
    kinds = [*KINDS, "host"]
    if len(arguments) != 2 or arguments[1] not in kinds:
        print(f"name one kind of {', '.join(kinds)}", file=sys.stderr)
        return 2
    try:
        options = json.loads(_OPTIONS.value)
    except ValueError as error:
        print(f"--options: {error}; give a JSON object", file=sys.stderr)
        return 2
    try:
        curio.run(_run, arguments[1], options)
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    app.run(main)
