"""Pattern: unlike nodes that start together learn of each other bit by bit.

The list of nodes names all of them at once; what each can do arrives with its
first heartbeat, which changes owners without a change of membership.
"""

import pytest

from baobabmux_core import (
    declarations,
    effects,
    membership,
    messages,
    scheduler,
)

_CELL = "cell"
_SERVICES = [f"s{number}" for number in range(6)]
_GROUPS = [f"{service}@{_CELL}" for service in _SERVICES]
_ABILITIES = {"n0": 2150, "n1": 250, "n2": 250, "n3": 1500, "n4": 250}
_START = 100.0


def _configuration():
    return declarations.Configuration(
        tiers={"t0": declarations.Tier(0)},
        services={name: declarations.Service("engine") for name in _SERVICES},
        endpoints={
            f"e-{name}": declarations.Endpoint(
                name, _CELL, f"vm-{name}", "127.0.0.1:1",
                max_requests=8, max_tokens=100_000,
                prefill_tokens_per_second=50_000.0,
                decode_tokens_per_second=300.0,
            )
            for name in _SERVICES
        },
        routes={
            f"r-{name}": declarations.Route(
                f"/{name}", name, "t0", timeout_seconds=30.0
            )
            for name in _SERVICES
        },
        presets={"p": declarations.Preset(short_share=0, high_tier_share=0)},
        active="p",
    )  # fmt: skip


def _start(node):
    """Returns a node that knows the others from the list and their frames."""
    members = membership.Membership(node, _CELL, _START)
    members.record_ability(node, _ABILITIES[node])
    core = scheduler.NodeScheduler(node, _CELL, members, 1)
    core.registration_seconds = 0.0
    core.configure(_configuration(), _START)
    entries = [
        membership.VmEntry(name, "node", _CELL, peer_address="127.0.0.1:1")
        for name in _ABILITIES
    ]
    members.apply_vm_list(entries, _START, _START)
    for name in _ABILITIES:
        members.record_frame(name, 1, False, _START, _CELL)
    members.tick(_START)
    core.members_changed(_START)
    return core


@pytest.mark.parametrize("node", _ABILITIES)
def test_node_acts_for_the_groups_that_it_names_itself_owner_of(node):
    """Guards against a group that all nodes ask one node for, in vain.

    After all nodes had ended and started again together, the owner that
    abilities named never took its group, and former ones went on granting.
    """
    core = _start(node)
    for name, ability in _ABILITIES.items():
        core.view.members.record_ability(name, ability)
    core.view.members.tick(_START + 0.2)
    core.tick(_START + 0.25)
    named = {group for group in _GROUPS if core.view.owner(group) == node}
    assert set(core.groups.names()) == named


def test_ask_that_came_before_the_ability_is_granted():
    """Guards against callers who wait until their deadline for an owner."""
    cores = {node: _start(node) for node in _ABILITIES}
    last = max(_ABILITIES, key=lambda node: _ABILITIES[node])
    for node, core in cores.items():
        for name, ability in _ABILITIES.items():
            if (node, name) != (last, "n1"):
                core.view.members.record_ability(name, ability)
    owned = [g for g in _GROUPS if cores["n1"].view.owner(g) == last]
    now = _START + 1.0
    emitted = []
    for group in owned:
        ask = messages.Ask(group, f"r-{group}", 0, 1, 5000, 10, 10, (), 7)
        emitted += cores[last].receive("n1", ask, now)
    cores[last].view.members.record_ability("n1", _ABILITIES["n1"])
    emitted += cores[last].tick(now + 0.05)
    granted = {
        effect.message.request
        for effect in emitted
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, messages.Grant)
    }
    assert owned
    assert granted == {f"r-{group}" for group in owned}


def test_node_that_the_list_excludes_gives_its_groups_up():
    """Guards against two owners while a VM is about to be taken away.

    The list shows only this node as leaving, so that no peer has changed.
    """
    core = _start("n0")
    for name, ability in _ABILITIES.items():
        core.view.members.record_ability(name, ability)
    core.tick(_START + 0.1)
    assert core.groups.names()
    entries = [
        membership.VmEntry(
            name, "node", _CELL,
            "leaving" if name == "n0" else "live",
            "127.0.0.1:1",
        )
        for name in _ABILITIES
    ]  # fmt: skip
    core.view.members.apply_vm_list(entries, _START + 0.2, _START + 0.2)
    core.view.members.tick(_START + 0.2)
    core.tick(_START + 0.25)
    assert core.groups.names() == []
