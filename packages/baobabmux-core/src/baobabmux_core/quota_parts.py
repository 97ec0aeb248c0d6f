"""Division of a workspace's limit among those that may grant from it.

Every group of endpoints has an owner of its own, owners change, and while one
is silent its successor charges requests that run from nodes' own shares. The
parts are chosen such that their sum stays within the limit in every window.
"""

import msgspec

from baobabmux_core import declarations

# Changes of a group's owner that the parts allow for in one window.
_CHANGES_IN_WINDOW = 2
# Shares of the tolerated excess: groups beside engines, overdrafts, and the
# rest for changes of owners.
_SIDE_SHARE = 1 / 3
_OVERDRAFT_SHARE = 1 / 9
# Without a tolerated excess, this share of the limit is kept for them.
_MIN_RESERVE_SHARE = 0.08
# A successor may use most of its start at once, before it is the owner.
_STANDBY_BURST_SHARE = 0.9
# Part of a side group for each new owner. Its tokens are few, so that most is
# for the owner in place.
_SIDE_START_SHARE = 0.05


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

    def limit(self, quota: declarations.Quota) -> float:
        """Returns the units that may be used in any window."""
        allowed = quota.rate * self.window_seconds + quota.burst
        return (1.0 + self.share) * allowed + self.units


NO_TOLERANCE = Tolerance()
"""A quota that must not be exceeded."""


class Division(msgspec.Struct, frozen=True):
    """Groups among which quotas are divided, as seen by one of them.

    Groups of plain services beside engines are side groups. They use few
    tokens, and get a part of the tolerated excess.

    Attributes:
        main_groups: Number of groups that share the quota itself.
        side_groups: Number of side groups.
        is_side: Whether the group is a side group.
    """

    main_groups: int = 1
    side_groups: int = 0
    is_side: bool = False


class Part(msgspec.Struct, frozen=True):
    """What one group's owner or its successor may grant, in units.

    Attributes:
        rate: Units a second that its owner may grant.
        burst: Units that its owner may grant at once.
        start: Units that a new owner may grant at once.
        standby_rate: Units a second that a successor may charge while the
            owner is silent.
        standby_burst: Units that a successor may charge at once.
        overdraft: Units by which a request may exceed the level.
    """

    rate: float
    burst: float
    start: float
    standby_rate: float
    standby_burst: float
    overdraft: float


def division_of(
    configuration: declarations.Configuration, service: declarations.Service
) -> Division:
    """Returns the division of quotas, as seen by a group of a service.

    Args:
        configuration: Configuration that declares services and endpoints.
        service: Service of the group.
    """
    used = {
        (endpoint.service, endpoint.data_centre)
        for endpoint in configuration.endpoints.values()
    }
    engines = sum(
        name in configuration.services
        and configuration.services[name].kind == "engine"
        for name, _ in used
    )
    if not engines:
        return Division(main_groups=max(1, len(used)))
    is_side = service.kind != "engine"
    side_groups = len(used) - engines
    if is_side:
        # The group remains when all its endpoints have left.
        side_groups = max(1, side_groups)
    return Division(engines, side_groups, is_side)


def divide(
    quota: declarations.Quota, tolerance: Tolerance, division: Division
) -> Part:
    """Returns the part of one group in a workspace's quota.

    The parts of all groups, with the starts of as many new owners as may come
    in a window, add up to the limit at most.
    """
    if quota.unit != "tokens":
        # Each request costs the same, so no group uses less than another.
        groups = division.main_groups + division.side_groups
        division = Division(main_groups=groups)
    window = tolerance.window_seconds
    allowed = quota.rate * window + quota.burst
    limit = tolerance.limit(quota)
    reserve = max(limit - allowed, _MIN_RESERVE_SHARE * allowed)
    factor = (limit - reserve) / allowed / division.main_groups
    side = _SIDE_SHARE * reserve if division.side_groups else 0.0
    if division.is_side:
        return _side_part(side / division.side_groups, window)
    overdraft = _OVERDRAFT_SHARE * reserve
    start = (reserve - side - overdraft) / _CHANGES_IN_WINDOW
    start /= division.main_groups
    return Part(
        rate=factor * quota.rate,
        burst=factor * quota.burst,
        start=start,
        standby_rate=(1.0 - _STANDBY_BURST_SHARE) * start / window,
        standby_burst=_STANDBY_BURST_SHARE * start,
        overdraft=overdraft / division.main_groups,
    )


def _side_part(units: float, window: float) -> Part:
    """Returns the part of a side group that may use units in a window."""
    start = _SIDE_START_SHARE * units
    burst = (units - _CHANGES_IN_WINDOW * start) / 2
    return Part(
        rate=burst / window,
        burst=burst,
        start=start,
        standby_rate=(1.0 - _STANDBY_BURST_SHARE) * start / window,
        standby_burst=_STANDBY_BURST_SHARE * start,
        overdraft=0.0,
    )
