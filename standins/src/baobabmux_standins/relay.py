"""TCP relay that stands for a network link which can fail."""

import collections
from typing import Any

import curio
import curio.io

from baobabmux_standins import client, listener, server, standin

_READ_BYTES = 65536


class RelayFaults(standin.Faults, frozen=True, forbid_unknown_fields=True):
    """Faults of a link.

    Attributes:
        cut: Connections are reset and new ones refused.
        stall: Connections stay open and carry nothing.
    """

    cut: bool = False
    stall: bool = False


class Relay(standin.StandIn):
    """Carries bytes between its port and a target.

    Args:
        target: IP number and port of the target.
    """

    faults_type = RelayFaults

    def __init__(self, target: str):
        super().__init__()
        self._target = target
        self._flowing = curio.Event()
        self._totals: collections.Counter[str] = collections.Counter()
        self._link = listener.Listener(self._carry)

    async def start(self) -> None:
        """Starts to listen for connections and for commands."""
        await self._flowing.set()
        await self.control.start()
        await self._link.admit()

    async def close(self) -> None:
        """Ends all connections and frees both ports."""
        await self._link.close()
        await self.control.close()

    def addresses(self) -> dict[str, str]:
        """Returns the addresses of the link and of the command port."""
        return {
            "address": self._link.address,
            "control": self.control.address,
        }

    def counts(self) -> dict[str, Any]:
        """Returns the numbers of connections and of bytes carried."""
        return {"totals": dict(self._totals)}

    async def handle(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        """Answers nothing: a relay has no protocol of its own."""

    async def set_faults(self, values: dict[str, Any]) -> None:
        """Cuts, stalls or heals the link."""
        self.faults = standin.convert_faults(values, self.faults_type)
        if self.faults.stall:
            self._flowing.clear()
        else:
            await self._flowing.set()
        if self.faults.cut or self.faults.refuse:
            await self._link.refuse()
            await self._link.drop()
        else:
            await self._link.admit()

    async def _carry(self, near: curio.io.Socket) -> None:
        await self._flowing.wait()
        self._totals["connections"] += 1
        async with await client.connect(self._target) as far:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pump, near, far)
                await group.spawn(self._pump, far, near)

    async def _pump(
        self, source: curio.io.Socket, sink: curio.io.Socket
    ) -> None:
        try:
            while data := await source.recv(_READ_BYTES):
                await self._flowing.wait()
                self._totals["bytes"] += len(data)
                await sink.sendall(data)
        except OSError:
            return  # Either end is gone; the other is closed by the caller.
