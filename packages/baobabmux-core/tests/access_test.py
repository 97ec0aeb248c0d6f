"""Tests of API keys."""

from baobabmux_core import access, declarations


def test_keys_name_their_workspace():
    """Guards against a removed key that is still taken."""
    before = access.KeyTable(
        {"bank-a": declarations.WorkspaceShare(api_keys=("k1", "k2"))}
    )
    after = access.KeyTable(
        {"bank-a": declarations.WorkspaceShare(api_keys=("k2",))}
    )
    assert before.workspace("k1") == "bank-a"
    assert after.workspace("k1") is None
    assert after.workspace("k2") == "bank-a"
