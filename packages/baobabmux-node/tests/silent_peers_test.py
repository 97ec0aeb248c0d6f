"""Pattern: connections between nodes go silent for good, without a reset.

New connections work, so nodes that open them again meet again.
"""

import curio
import pytest

from baobabmux_core import membership, messages
from baobabmux_node import clock, node, peers, settings
from baobabmux_standins import relay

_ANY = settings.Address("127.0.0.1", 0)
_UNREACHABLE = settings.Address("127.0.0.1", 9)
_SECRET = b"secret"
_LONG_AGO_SECONDS = 60.0


class _Pair:
    """A node's transport, and another one that it reaches by a relay."""

    def __init__(self):
        self.received = []
        self.link_address = ""
        self.sender = peers.PeerTransport(
            "n1", _SECRET, lambda name: self.link_address, lambda: 1
        )
        self.receiver = peers.PeerTransport(
            "n2", _SECRET, lambda name: None, lambda: 1
        )

    async def receive(self, frame):
        self.received.append(frame.sequence)

    async def arrives(self):
        """Sends a frame; returns whether one arrives within a second."""
        before = len(self.received)
        for _ in range(20):
            self.sender.enqueue("n2", messages.Heartbeat(False, 1))
            self.sender.flush()
            await curio.sleep(0.05)
            if len(self.received) > before:
                return True
        return False


async def _run(scenario):
    pair = _Pair()
    pair.receiver.start("127.0.0.1", 0)
    link = relay.Relay(pair.receiver.address)
    await link.start()
    pair.link_address = link.addresses()["address"]
    task = await curio.spawn(
        pair.receiver.receive_frames, pair.receive, daemon=True
    )
    try:
        await scenario(pair, link)
    finally:
        await task.cancel()
        pair.sender.close()
        pair.receiver.close()
        await link.close()


def test_frames_arrive_again_after_connections_went_silent():
    """Guards against nodes that stay apart until they are restarted.

    A socket was opened anew only once its peer's frames showed that it had
    acknowledged nothing; with both directions silent there were none.
    """

    async def scenario(pair, link):
        assert await pair.arrives()
        await link.set_faults({"mute": True})
        assert not await pair.arrives()
        pair.sender.renew("n2", clock.now() + _LONG_AGO_SECONDS)
        assert await pair.arrives()
        assert pair.sender.reconnects == 1

    curio.run(_run, scenario)


def test_socket_that_was_just_opened_is_kept():
    """Guards against connections that are closed before they are made."""

    async def scenario(pair, link):
        assert await pair.arrives()
        pair.sender.renew("n2", clock.now())
        pair.sender.renew("n3", clock.now() + _LONG_AGO_SECONDS)
        assert pair.sender.reconnects == 0

    curio.run(_run, scenario)


@pytest.mark.parametrize("silent_seconds", [0.0, 3.0])
def test_sockets_to_suspects_are_opened_anew(silent_seconds, monkeypatch):
    """Guards against heartbeats on a connection that is dead."""
    host = node.Node(
        settings.Settings(
            "n1", "col-a", _ANY, _ANY, _ANY, _UNREACHABLE, _UNREACHABLE
        )
    )
    renewed = []
    monkeypatch.setattr(
        host.peers, "renew", lambda name, now: renewed.append(name)
    )
    now = clock.now()
    entries = [
        membership.VmEntry(name, "node", "col-a", "live", "127.0.0.1:9")
        for name in ("n1", "n2")
    ]
    host.membership.apply_vm_list(entries, now, now)
    host.membership.record_frame("n2", 1, False, now, "col-a")
    host.membership.tick(now)
    for step in range(int(silent_seconds * 8)):
        host.membership.tick(now + step / 8)
    host._send_heartbeats(["n2"])
    assert bool(renewed) is bool(silent_seconds)
