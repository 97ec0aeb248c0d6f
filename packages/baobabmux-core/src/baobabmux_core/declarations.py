"""Declarations that operators publish: what each section may say."""

import msgspec

from baobabmux_core import ids


class Tier(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How much a kind of request matters.

    Attributes:
        rank: Order among tiers, 0 is the highest.
    """

    rank: int


class WorkspaceShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Share of a workspace inside a tier.

    Attributes:
        weight: Relative share; workspaces without a declaration have 1.0.
    """

    weight: float


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of endpoints.

    Attributes:
        kind: "engine" for model engines, "plain" for other HTTP services.
        max_queue_requests: Requests that may wait in one group.
        max_queue_tokens: Tokens that may wait in one group.
        short_tokens: Requests with fewer tokens count as short.
    """

    kind: str
    max_queue_requests: int = 500
    max_queue_tokens: int = 2_000_000
    short_tokens: int = 600


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replica of a service.

    Attributes:
        service: Service that it runs.
        data_centre: Where it stands.
        vm: Its name in the VM list.
        address: IP number and port.
        generation: Hardware generation, for first estimates of rates.
        max_requests: Requests that it runs at a time.
        max_tokens: Tokens that it holds at a time.
        cache_tokens: Size of its prefix cache in tokens.
        prefill_tokens_per_second: First estimate of the prefill rate.
        decode_tokens_per_second: First estimate of one request's decode rate.
        checks_fencing: Whether it refuses orders with an old fencing number.
    """

    service: ids.ServiceName
    data_centre: ids.DataCentre
    vm: ids.VmId
    address: str
    generation: str = ""
    max_requests: int = 8
    max_tokens: int = 40_000
    cache_tokens: int = 0
    prefill_tokens_per_second: float = 2000.0
    decode_tokens_per_second: float = 40.0
    checks_fencing: bool = False


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request.

    Attributes:
        path: Prefix of the caller's path.
        service: Service that runs it.
        tier: Name of its tier.
        methods: HTTP methods that it takes.
        idempotent: Whether a second run does no harm.
        timeout_seconds: Longest time from arrival to the end of the answer.
        output_tokens: Expected length of an answer.
        max_body_bytes: Longest body.
    """

    path: str
    service: ids.ServiceName
    tier: ids.TierName
    methods: tuple[str, ...] = ("POST",)
    idempotent: bool = True
    timeout_seconds: float = 120.0
    output_tokens: int = 256
    max_body_bytes: int = 1_000_000


class Preset(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A set of policy values, of which exactly one is in force.

    Attributes:
        affinity_wait_seconds: Longest wait for an endpoint with a warm cache.
        short_share: Share of an endpoint's slots kept for short requests.
        high_tier_share: Share of an endpoint's slots kept for higher tiers.
        refused_tiers: Tiers that are not admitted.
    """

    affinity_wait_seconds: float = 0.0
    short_share: float = 0.25
    high_tier_share: float = 0.25
    refused_tiers: tuple[ids.TierName, ...] = ()


class KeyLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of idempotency keys and kept answers.

    Attributes:
        window_seconds: Greatest age of a key; shorter than the retention of
            the log service.
        kept_answers: Answers that a node keeps for repeated sends.
        kept_answer_bytes: Their total size.
    """

    window_seconds: float = 3600.0
    kept_answers: int = 2000
    kept_answer_bytes: int = 16_000_000


class Configuration(msgspec.Struct, frozen=True):
    """All declarations, checked against each other.

    Attributes:
        tiers: Tiers by name.
        workspaces: Workspace shares by name.
        services: Services by name.
        endpoints: Endpoints by identifier.
        routes: Routes by name.
        presets: Presets by name.
        active: Name of the preset in force.
        keys: Limits of idempotency keys.
    """

    tiers: dict[ids.TierName, Tier]
    services: dict[ids.ServiceName, Service]
    endpoints: dict[ids.EndpointId, Endpoint]
    routes: dict[ids.RouteName, Route]
    presets: dict[ids.PresetName, Preset]
    active: ids.PresetName
    workspaces: dict[ids.Workspace, WorkspaceShare] = {}
    keys: KeyLimits = KeyLimits()

    def active_preset(self) -> Preset:
        """Returns the preset in force."""
        return self.presets[self.active]

    def match_route(self, path: str) -> tuple[ids.RouteName, Route] | None:
        """Returns the route with the longest path prefix, or None."""
        matches = (
            (name, route)
            for name, route in self.routes.items()
            if path == route.path
            or path.startswith(route.path.rstrip("/") + "/")
        )
        return max(matches, key=lambda item: len(item[1].path), default=None)

    def tier_rank(self, route: Route) -> int:
        """Returns the rank of a route's tier, 0 is the highest."""
        return self.tiers[route.tier].rank

    def group_endpoints(
        self, group: ids.GroupId
    ) -> dict[ids.EndpointId, Endpoint]:
        """Returns the endpoints of a group by identifier."""
        return {
            name: endpoint
            for name, endpoint in self.endpoints.items()
            if ids.group_id(endpoint.service, endpoint.data_centre) == group
        }
