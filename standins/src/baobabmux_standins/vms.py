"""Stand-in for the VM list, with a lag and a view for each data centre.

A `VmList` owns the versions of the list that its lag still needs.
"""

import collections
import hashlib
import json
import time
from typing import Any

import msgspec

from baobabmux_standins import server, standin


class Vm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of the list.

    Attributes:
        id: Name of the VM.
        kind: "node" or "endpoint".
        data_centre: Data centre that it runs in.
        state: "live" or "leaving".
        peer_address: IP number and port for peers.
        admin_address: IP number and port for operators.
        views: Peer address given to viewers in another data centre, by the
            viewer's data centre; it routes their connections through a relay.
    """

    id: str
    kind: str
    data_centre: str
    state: str = "live"
    peer_address: str = ""
    admin_address: str = ""
    views: dict[str, str] = {}

    def seen_from(self, viewer: str) -> dict[str, str]:
        """Returns the entry for a viewer in the given data centre."""
        entry = msgspec.to_builtins(self)
        entry["peer_address"] = self.views.get(viewer, self.peer_address)
        del entry["views"]
        return entry


class _Version(msgspec.Struct, frozen=True):
    """The entries of the list by name, and the time since which they apply."""

    as_of: float
    entries: dict[str, Vm]


class VmList(standin.StandIn):
    """The VM list; `POST /vms` with `{"set": [...], "remove": [...]}` edits it.

    Args:
        lag_seconds: Age of the version of the list that readers get.
    """

    def __init__(self, lag_seconds: float = 0.0):
        super().__init__()
        self._lag_seconds = lag_seconds
        first = _Version(time.time(), {})
        self._versions = collections.deque([first])
        self._reads = 0

    def counts(self) -> dict[str, Any]:
        """Returns the number of reads."""
        return {"totals": {"reads": self._reads}}

    async def command(
        self, request: server.Request, reply: server.Reply
    ) -> bool:
        """Answers reads and edits at the command port too."""
        if request.path != "/vms":
            return False
        await self.handle(request, reply)
        return True

    async def handle(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        """Answers reads and edits."""
        if request.path != "/vms":
            await reply.json({"error": "no such resource"}, 404)
        elif request.method == "POST":
            await self._edit(request, reply)
        else:
            self._reads += 1
            await self._answer(request, reply)

    async def _answer(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        view = self._view(request.query.get("viewer", ""))
        digest = hashlib.sha256(json.dumps(view["vms"]).encode()).hexdigest()
        etag = f'"{digest[:16]}"'
        if request.headers.get("if-none-match") == etag:
            await reply.whole(b"", 304, {"ETag": etag})
        else:
            await reply.json(view, 200, {"ETag": etag})

    async def _edit(self, request: server.Request, reply: server.Reply) -> None:
        try:
            edit = json.loads(request.body)
            added = msgspec.convert(edit.get("set", []), list[Vm])
        except (ValueError, msgspec.ValidationError) as error:
            await reply.json({"error": str(error)}, 400)
            return
        entries = dict(self._versions[-1].entries)
        entries.update({vm.id: vm for vm in added})
        for name in edit.get("remove", []):
            entries.pop(name, None)
        self._versions.append(_Version(time.time(), entries))
        await reply.json({"count": len(entries)})

    def _view(self, viewer: str) -> dict[str, Any]:
        as_of = time.time() - self._lag_seconds
        while len(self._versions) > 1 and self._versions[1].as_of <= as_of:
            self._versions.popleft()
        entries = self._versions[0].entries.values()
        return {
            "as_of_ms": int(as_of * 1000),
            "vms": [vm.seen_from(viewer) for vm in entries],
        }
