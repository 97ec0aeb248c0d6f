"""What differs between two configurations, in an operator's words."""

from typing import Any

from baobabmux_core import declarations
from baobabmux_ctl import publication

# What an added, a changed and a removed entry does to requests.
_EFFECTS = {
    "route": (
        "requests to its path are served from now on",
        "applies to new requests; those under way keep what they began with",
        "new requests to its path get 404; those under way go on",
    ),
    "service": (
        "routes may lead to it",
        "applies to requests that wait and to new ones",
        "waiting requests for it are refused as not run; running ones go on",
    ),
    "endpoint": (
        "it gets requests as soon as nodes know it",
        "applies to new requests; running ones go on",
        "it gets no new requests; running ones go on",
    ),
    "workspace": (
        "its keys are accepted",
        "applies to new requests; levels of kept quotas stay",
        "its keys get 401, and its quota and share end",
    ),
    "tier": (
        "routes may have it",
        "applies to new requests; waiting ones keep their rank",
        "no route has it any more",
    ),
    "preset": (
        "it can be switched to",
        "applies at once if it is in force",
        "it cannot be switched to any more",
    ),
    "active": (
        "the preset applies to waiting and new requests",
        "the preset applies to waiting and new requests",
        "the preset in force stays as it is",
    ),
}
_OTHER_EFFECTS = ("applies to new requests",) * 3


def describe(
    in_force: declarations.Tables, files: declarations.Tables
) -> list[str]:
    """Returns one line for each entry that differs.

    Args:
        in_force: Tables of the version in force.
        files: Tables that would replace them.
    """
    delta = publication.difference(in_force, files)
    lines = []
    for address, table in sorted(delta.set.items()):
        section, _, name = address.partition("/")
        added, changed, _ = _EFFECTS.get(section, _OTHER_EFFECTS)
        before = in_force.get(section, {}).get(name)
        if before is None:
            lines.append(f'{section} "{name}" is new: {added}')
            continue
        what = ", ".join(_changed_keys(before, table))
        lines.append(f'{section} "{name}" changes {what}: {changed}')
    for address in delta.delete:
        section, _, name = address.partition("/")
        _, _, removed = _EFFECTS.get(section, _OTHER_EFFECTS)
        lines.append(f'{section} "{name}" is removed: {removed}')
    return lines


def _changed_keys(before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    keys = sorted(before.keys() | after.keys())
    return [
        f"{key} from {_shown(key, before)} to {_shown(key, after)}"
        for key in keys
        if before.get(key) != after.get(key)
    ]


def _shown(key: str, table: dict[str, Any]) -> str:
    if key not in table:
        return "its default"
    if key == "api_keys":
        # Keys are secrets.
        return f"{len(table[key])} keys"
    return repr(table[key])
