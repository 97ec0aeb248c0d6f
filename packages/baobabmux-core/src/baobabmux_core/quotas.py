"""Quotas of workspaces, charged by the owners that decide on grants.

How a limit is divided among groups, owners and their successors is decided in
`quota_parts`.
"""

import math

from baobabmux_core import declarations, fairness, ids, quota_parts

Tolerance = quota_parts.Tolerance
NO_TOLERANCE = quota_parts.NO_TOLERANCE

# Share of a new owner's start that is kept for streams that are taken up: their
# callers have part of the answer, and come back just after owners have ended.
_RESUMED_SHARE = 0.25
# Only one side of a cut reaches more of the nodes than this share.
_MAJORITY_SHARE = 0.5
# Units are indivisible, so a bucket of less than one must still grant one.
_MIN_OVERDRAFT = 1.0


class _Bucket:
    def __init__(self, part: quota_parts.Part, level: float, now: float):
        self.part = part
        self.level = level
        self.refilled_at = now


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
    """Token buckets of the workspaces in one group.

    A node keeps the ledger of a group as long as it runs. It grants as the
    owner, or stands by as a successor that charges requests while the owner is
    silent. A node that becomes the owner goes on with the levels of its ledger.

    Attributes:
        share: Part of every quota that this side of a cut may grant; below 1
            while other nodes that may also grant are unreachable.
        tolerance: By how much quotas may be exceeded; applied by `configure`.
        division: How quotas are divided among groups; applied by `configure`.
        is_acting: Whether the node grants as the owner.
        is_joining: Whether the node has just started and has not reached most
            of the others yet.
    """

    def __init__(
        self,
        tolerance: quota_parts.Tolerance = NO_TOLERANCE,
        *,
        is_acting: bool = True,
    ):
        self.share = 1.0
        self.tolerance = tolerance
        self.division = quota_parts.Division()
        self.is_acting = is_acting
        self.is_joining = False
        self._acting_since = -math.inf
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
            part = quota_parts.divide(
                workspace.quota, self.tolerance, self.division
            )
            digest = fairness.workspace_hash(name)
            bucket = known.get(digest)
            if bucket is None:
                level = part.start if self.is_acting else part.standby_burst
                bucket = _Bucket(part, min(level, part.burst), now)
            if bucket.part != part:
                self._refill(bucket, now)
                bucket.part = part
                bucket.level = min(bucket.level, self._ceiling(bucket))
            self._buckets[digest] = bucket

    def act(self, now: float) -> None:
        """Begins to grant as a new owner, without a record of the former's."""
        self._refill_all(now)
        self.is_acting = True
        self._acting_since = now
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, bucket.part.start)

    def stand_by(self, now: float) -> None:
        """Stops granting as the owner."""
        if not self.is_acting:
            return
        self._refill_all(now)
        self.is_acting = False
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, bucket.part.standby_burst)

    def set_share(self, share: float, now: float) -> None:
        """Sets the part of every quota that may be granted from now on."""
        if share == self.share:
            return
        self._refill_all(now)
        self.share = share
        if self.is_joining and share > _MAJORITY_SHARE:
            # All nodes began alone, each with its part of one start. The owner
            # that they agree on begins with the second one.
            self.is_joining = False
            for bucket in self._buckets.values():
                part = bucket.part
                start = part.start if self.is_acting else part.standby_burst
                bucket.level = max(bucket.level, share * start)

    def take(
        self, workspace: int, cost: int, now: float, *, resumes: bool = False
    ) -> float | None:
        """Charges a workspace.

        Args:
            workspace: Hash of the workspace.
            cost: Units of the request.
            now: Current time in seconds.
            resumes: Whether the request takes up a stream.

        Returns:
            None if the level sufficed and was charged, or if the workspace has
            no quota; else the seconds until the level will suffice.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return None
        self._refill(bucket, now)
        # A request larger than the burst would never be granted; it needs a
        # full bucket and makes the level negative.
        overdraft = self._overdraft(bucket, now)
        needed = max(min(cost, self._ceiling(bucket)), cost - overdraft)
        if not resumes:
            kept = self._kept_for_resumed(bucket, now)
            needed = max(needed, min(needed + kept, self._ceiling(bucket)))
        if bucket.level >= needed:
            bucket.level -= cost
            return None
        rate = max(self.share * bucket.part.rate, 1e-9)
        wait = (needed - bucket.level) / rate
        if needed > self._ceiling(bucket):
            wait = min(wait, self.tolerance.window_seconds)
        return wait

    def refund(self, workspace: int, cost: int) -> None:
        """Gives back the units charged for a request that is not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level += cost

    def level(self, workspace: int) -> float | None:
        """Returns the units left, or None without a quota."""
        bucket = self._buckets.get(workspace)
        return None if bucket is None else bucket.level

    def _overdraft(self, bucket: _Bucket, now: float) -> float:
        if not self.is_acting:
            return 0.0
        # The former owner may have overdrawn in the same window.
        acting_seconds = now - self._acting_since
        if acting_seconds < self.tolerance.window_seconds:
            return _MIN_OVERDRAFT
        return max(self.share * bucket.part.overdraft, _MIN_OVERDRAFT)

    def _kept_for_resumed(self, bucket: _Bucket, now: float) -> float:
        acting_seconds = now - self._acting_since
        if (
            not self.is_acting
            or acting_seconds >= self.tolerance.window_seconds
        ):
            return 0.0
        return self.share * _RESUMED_SHARE * bucket.part.start

    def _ceiling(self, bucket: _Bucket) -> float:
        part = bucket.part
        burst = part.burst if self.is_acting else part.standby_burst
        return self.share * burst

    def _refill_all(self, now: float) -> None:
        for bucket in self._buckets.values():
            self._refill(bucket, now)

    def _refill(self, bucket: _Bucket, now: float) -> None:
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.refilled_at = now
        part = bucket.part
        rate = part.rate if self.is_acting else part.standby_rate
        gained = elapsed * self.share * rate
        bucket.level = min(self._ceiling(bucket), bucket.level + gained)
