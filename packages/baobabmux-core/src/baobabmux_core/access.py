"""Lookup of the workspace to which a caller's API key belongs."""

from baobabmux_core import declarations, ids


class KeyTable:
    """API keys of one configuration, mapped to their workspaces."""

    def __init__(
        self, workspaces: dict[ids.Workspace, declarations.WorkspaceShare]
    ):
        self._workspaces = {
            key: name
            for name, workspace in workspaces.items()
            for key in workspace.api_keys
        }

    def bearer(self, authorization: str) -> ids.Workspace | None:
        """Returns the workspace of an `Authorization` header, or None.

        Args:
            authorization: Value of the header; only the scheme `Bearer`
                (RFC 6750) is supported.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer":
            return None
        return self.workspace(key.strip())

    def workspace(self, key: str) -> ids.Workspace | None:
        """Returns the workspace of a key, or None if the key is unknown."""
        return self._workspaces.get(key)
