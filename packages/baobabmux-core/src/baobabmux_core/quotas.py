"""Quotas of workspaces, counted where grants are decided."""

import msgspec

from baobabmux_core import declarations, fairness, ids

# Owners change at most about twice within a window.
_OWNERS_IN_WINDOW = 2


class Tolerance(msgspec.Struct, frozen=True):
    """By how much a quota may be exceeded in a window.

    Attributes:
        window_seconds: Length of the window.
        share: Part of what the quota allows in the window.
        units: Units besides.
    """

    window_seconds: float = 10.0
    share: float = 0.0
    units: float = 0.0

    def initial_level(self, quota: declarations.Quota) -> float:
        """Returns the units that a new owner may grant at once.

        It does not know what was granted just before, so it starts with what
        the tolerance leaves for a change of owners, or with a quarter of the
        burst if that is more.
        """
        allowed = quota.rate * self.window_seconds + quota.burst
        spare = (self.share * allowed + self.units) / _OWNERS_IN_WINDOW
        return min(quota.burst, max(spare, 0.25 * quota.burst))


NO_TOLERANCE = Tolerance()
"""A quota that must not be exceeded."""


class _Bucket:
    def __init__(
        self, quota: declarations.Quota, tolerance: Tolerance, now: float
    ):
        self.quota = quota
        self.level = tolerance.initial_level(quota)
        self.filled_at = now

    def fill(self, share: float, now: float) -> None:
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = now
        ceiling = share * self.quota.burst
        gained = elapsed * share * self.quota.rate
        self.level = min(ceiling, self.level + gained)


def cost(share: declarations.WorkspaceShare | None, tokens: int | None) -> int:
    """Returns the units that a request takes of its workspace's quota.

    Args:
        share: Declaration of the workspace, or None.
        tokens: Prompt tokens and longest answer together, or None if the
            request does not tell.
    """
    if share is None or share.quota is None:
        return 0
    if share.quota.unit != "tokens":
        return 1
    return share.quota.plain_tokens if tokens is None else tokens


class QuotaLedger:
    """Token buckets of the workspaces.

    Attributes:
        share: Part of every quota that may be used here; below 1 while other
            nodes that may also grant are out of reach.
    """

    def __init__(self, tolerance: Tolerance = NO_TOLERANCE):
        self.share = 1.0
        self._tolerance = tolerance
        self._buckets: dict[int, _Bucket] = {}

    def configure(
        self,
        workspaces: dict[ids.Workspace, declarations.WorkspaceShare],
        now: float,
    ) -> None:
        """Takes the quotas of a configuration; levels are kept."""
        known = self._buckets
        self._buckets = {}
        for name, workspace in workspaces.items():
            if workspace.quota is None:
                continue
            digest = fairness.workspace_hash(name)
            bucket = known.get(digest) or _Bucket(
                workspace.quota, self._tolerance, now
            )
            if bucket.quota != workspace.quota:
                bucket.fill(self.share, now)
                bucket.quota = workspace.quota
                bucket.level = min(bucket.level, workspace.quota.burst)
            self._buckets[digest] = bucket

    def take(self, workspace: int, cost: int, now: float) -> float | None:
        """Charges a workspace.

        Args:
            workspace: Hash of the workspace.
            cost: Units of the request.
            now: Current time in seconds.

        Returns:
            None if the workspace had enough and was charged, else the seconds
            until it will have.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return None
        bucket.fill(self.share, now)
        # A request above the burst could never pass; it needs a full bucket
        # and leaves a debt.
        needed = min(cost, self.share * bucket.quota.burst)
        if bucket.level >= needed:
            bucket.level -= cost
            return None
        rate = max(self.share * bucket.quota.rate, 1e-9)
        return (needed - bucket.level) / rate

    def refund(self, workspace: int, cost: int) -> None:
        """Returns what was charged for a request that is not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level += cost

    def level(self, workspace: int) -> float | None:
        """Returns the units left, or None without a quota."""
        bucket = self._buckets.get(workspace)
        return None if bucket is None else bucket.level
