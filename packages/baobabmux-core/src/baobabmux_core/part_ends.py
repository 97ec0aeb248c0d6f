"""Ends of endpoints under each part of prompts, as all nodes report them.

A part that ends each endpoint that begins to write an answer on it must be
refused, whatever else its requests hold. Its requests share their other parts
with sound ones, and other requests run at the same endpoints. These parts are
told apart by proof: a part is sound once a request with it has succeeded or has
been written for a while.
"""

import collections
import math
from collections.abc import Iterable

from baobabmux_core import end_counts, ids

PROOF_SECONDS = 1.0
"""Time from the first to the latest event of a stream that proves its parts."""

# Requests with a part that no request has proved for longer than this run one
# at a time after its first end. Others do so after the second, so that the end
# of an endpoint does not slow down the parts that most requests share.
_REMEMBERED_SECONDS = 60.0
# Bounds the memory; the part proved longest ago is evicted first.
_MAX_PROVED = 10_000
_RESTRICTED_ENDS = 2
# Time after the last end at which one request may try a refused part again. A
# part that is refused wrongly is proved by it. A second trial, and copies that
# were on their way, could exceed the requests that the platform allows a part
# that ends endpoints.
_TRIAL_SECONDS = 15.0


class PartEnds:
    """Recent ends by part, and the parts that are known to be sound.

    Attributes:
        counts: Ends by part.
        may_try: Whether this node reaches most nodes. Of nodes that are cut off
            from each other, only one side may try a refused part.
    """

    def __init__(self):
        self.counts: end_counts.EndCounts[ids.PartDigest] = (
            end_counts.EndCounts()
        )
        self.may_try = True
        self._proved_at: collections.OrderedDict[ids.PartDigest, float] = (
            collections.OrderedDict()
        )

    def prove(
        self, parts: Iterable[ids.PartDigest], now: float
    ) -> dict[ids.PartDigest, int]:
        """Records that parts are sound and drops their ends.

        Returns:
            The number of ends that were dropped, by part.
        """
        dropped = {}
        for part in parts:
            self._proved_at.pop(part, None)
            self._proved_at[part] = now
            if part in self.counts:
                dropped[part] = self.counts.count(part, now)
                self.counts.clear(part, now)
        while len(self._proved_at) > _MAX_PROVED:
            self._proved_at.popitem(last=False)
        return dropped

    def suspects(
        self, parts: Iterable[ids.PartDigest], now: float
    ) -> list[ids.PartDigest]:
        """Returns the parts whose requests run one at a time."""
        if not self.counts:
            return []
        return [part for part in parts if self._is_suspect(part, now)]

    def suspected_before(
        self, parts: Iterable[ids.PartDigest], at: float
    ) -> bool:
        """Returns whether a part was suspect by a time."""
        return any(
            self.counts.ended_before(part, at)
            for part in self.suspects(parts, at)
        )

    def refused_for(self, parts: Iterable[ids.PartDigest], now: float) -> float:
        """Returns for how many seconds requests with these parts are refused.

        It is 0.0 if they are not.
        """
        if not self.counts:
            return 0.0
        return max(
            (self._refused_for(part, now) for part in parts), default=0.0
        )

    def _is_suspect(self, part: ids.PartDigest, now: float) -> bool:
        if part not in self.counts:
            return False
        if self.counts.count(part, now) >= _RESTRICTED_ENDS:
            return True
        ends = self.counts.ends(part, now)
        proved_at = self._proved_at.get(part, -math.inf)
        return bool(ends) and proved_at < ends[0].at - _REMEMBERED_SECONDS

    def _refused_for(self, part: ids.PartDigest, now: float) -> float:
        if part not in self.counts:
            return 0.0
        ends = self.counts.count(part, now)
        if ends < end_counts.MAX_ENDS:
            return 0.0
        if ends > end_counts.MAX_ENDS or not self.may_try:
            return self.counts.refused_until(part, now) - now
        last = self.counts.ends(part, now)[-1]
        return max(0.0, last.at + _TRIAL_SECONDS - now)
