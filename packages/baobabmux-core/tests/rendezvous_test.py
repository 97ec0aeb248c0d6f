"""Tests of rendezvous hashing."""

from baobabmux_core import rendezvous


def test_removing_a_member_moves_only_its_keys():
    """Guards against keys that move between the remaining members."""
    members = [f"n{i}" for i in range(8)]
    keys = [f"group-{i}" for i in range(200)]
    before = {key: rendezvous.owner(key, members) for key in keys}
    survivors = [member for member in members if member != "n3"]
    for key in keys:
        if before[key] != "n3":
            assert rendezvous.owner(key, survivors) == before[key]


def test_owner_is_first_of_rank():
    """Guards against `owner` and `rank` that name different owners."""
    members = ["b", "a", "c"]
    assert rendezvous.owner("k", members) == rendezvous.rank("k", members)[0]
