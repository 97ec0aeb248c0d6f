"""Quotas of workspaces, charged by the owners that decide on grants."""

import msgspec

from baobabmux_core import declarations, fairness, ids

# Owners change at most about twice within a window.
_OWNERS_IN_WINDOW = 2


class Tolerance(msgspec.Struct, frozen=True):
    """By how much a quota may be exceeded in a window.

    Attributes:
        window_seconds: Length of the window.
        share: Tolerated excess as a share of what the quota allows in the
            window.
        units: Tolerated units in addition to that share.
    """

    window_seconds: float = 10.0
    share: float = 0.0
    units: float = 0.0

    def initial_level(self, quota: declarations.Quota) -> float:
        """Returns the units that a new owner may grant at once.

        A new owner has no record of what its predecessor just granted, so its
        bucket starts with the part of the tolerance for one change of owners,
        or with a quarter of the burst if that is more.
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
        self.refilled_at = now

    def refill(self, share: float, now: float) -> None:
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        ceiling = share * self.quota.burst
        gained = elapsed * share * self.quota.rate
        self.level = min(ceiling, self.level + gained)


def cost(share: declarations.WorkspaceShare | None, tokens: int | None) -> int:
    """Returns the units that a request is charged to its workspace's quota.

    Args:
        share: Declaration of the workspace, or None.
        tokens: Sum of prompt tokens and longest answer, or None if the request
            does not state it.
    """
    if share is None or share.quota is None:
        return 0
    if share.quota.unit != "tokens":
        return 1
    return share.quota.plain_tokens if tokens is None else tokens


class QuotaLedger:
    """Token buckets of the workspaces.

    Attributes:
        share: Part of every quota that this owner may grant; below 1 while
            other nodes that may also grant are unreachable.
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
        """Replaces the quotas; buckets of kept workspaces keep their levels."""
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
                bucket.refill(self.share, now)
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
            None if the level sufficed and was charged, or if the workspace has
            no quota; else the seconds until the level will suffice.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return None
        bucket.refill(self.share, now)
        # A request larger than the burst would never be granted; it needs a
        # full bucket and makes the level negative.
        needed = min(cost, self.share * bucket.quota.burst)
        if bucket.level >= needed:
            bucket.level -= cost
            return None
        rate = max(self.share * bucket.quota.rate, 1e-9)
        return (needed - bucket.level) / rate

    def refund(self, workspace: int, cost: int) -> None:
        """Gives back the units charged for a request that is not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level += cost

    def level(self, workspace: int) -> float | None:
        """Returns the units left, or None without a quota."""
        bucket = self._buckets.get(workspace)
        return None if bucket is None else bucket.level
