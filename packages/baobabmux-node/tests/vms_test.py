"""Tests of the client of the VM list."""

import json

import curio

from baobabmux_node import vms
from baobabmux_standins import client
from baobabmux_standins import vms as standin

_ENTRY = {"id": "n1", "kind": "node", "data_centre": "col-a"}


async def _edit(address, entry):
    body = json.dumps({"set": [entry]}).encode()
    await client.request(address, "POST", "/vms", body)


async def _read_twice():
    vm_list = standin.VmList()
    await vm_list.start()
    try:
        address = vm_list.addresses()["address"]
        reader = vms.VmListClient(address, "col-a")
        await _edit(address, _ENTRY)
        first = await reader.fetch(10.0)
        again = await reader.fetch(12.0)
        await _edit(address, {**_ENTRY, "state": "leaving"})
        return first, again, await reader.fetch(13.0)
    finally:
        await vm_list.close()


def test_unchanged_list_is_reused_and_a_change_is_read():
    """Guards against missing a leaving VM because of a cached list.

    The second read gets status 304, the third one the changed list.
    """
    first, again, changed = curio.run(_read_twice)
    assert again.vms == first.vms
    assert again.as_of_ms == first.as_of_ms + 2000
    assert [vm.state for vm in changed.vms] == ["leaving"]
