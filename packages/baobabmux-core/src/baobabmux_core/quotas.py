"""Quotas of workspaces, counted where grants are decided."""

from baobabmux_core import declarations, fairness, ids

# Share of the burst that a new owner grants at once: it does not know what
# was used just before, and a whole burst at each change would exceed the
# quota.
_FIRST_SHARE = 0.25


class _Bucket:
    def __init__(self, quota: declarations.Quota, now: float):
        self.quota = quota
        self.level = _FIRST_SHARE * quota.burst
        self.filled_at = now

    def fill(self, share: float, now: float) -> None:
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = now
        ceiling = share * self.quota.burst
        gained = elapsed * share * self.quota.rate
        self.level = min(ceiling, self.level + gained)


class QuotaLedger:
    """Token buckets of the workspaces.

    Attributes:
        share: Part of every quota that may be used here; below 1 while other
            nodes that may also grant are out of reach.
    """

    def __init__(self):
        self.share = 1.0
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
            bucket = known.get(digest) or _Bucket(workspace.quota, now)
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

    def level(self, workspace: int) -> float | None:
        """Returns the units left, or None without a quota."""
        bucket = self._buckets.get(workspace)
        return None if bucket is None else bucket.level
