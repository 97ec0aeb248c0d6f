"""Tests of API keys."""

from baobabmux_core import access, declarations


def test_keys_name_their_workspace():
    """Guards against a removed key that is still accepted."""
    old_keys = access.KeyTable(
        {"bank-a": declarations.WorkspaceShare(api_keys=("k1", "k2"))}
    )
    new_keys = access.KeyTable(
        {"bank-a": declarations.WorkspaceShare(api_keys=("k2",))}
    )
    assert old_keys.workspace("k1") == "bank-a"
    assert new_keys.workspace("k1") is None
    assert new_keys.workspace("k2") == "bank-a"
