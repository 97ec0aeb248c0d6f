"""Parses and checks a caller's request before it is scheduled.

Errors raised here become the `detail` of the answer that the caller receives.
"""

import itertools
from typing import Any

import msgspec
import xxhash

from baobabmux_core import (
    access,
    declarations,
    effects,
    errors,
    ids,
    keys,
    prefixes,
    quotas,
    routing,
)
from baobabmux_node import adapters, held, server

REQUEST_ID = "baobabmux-request-id"
IDEMPOTENCY_KEY = "idempotency-key"
DEADLINE = "baobabmux-deadline"
WORKSPACE = "baobabmux-workspace"

_MAX_ID_CHARACTERS = 128
_MAX_OUTPUT_TOKENS = 100_000
_DEFAULT_WORKSPACE = "default"
_OWN_HEADERS = frozenset({REQUEST_ID, IDEMPOTENCY_KEY, DEADLINE, WORKSPACE})


class _Completion(msgspec.Struct):
    """The fields of a completion request that the node reads."""

    prompt: str
    max_tokens: int | None = None
    stream: bool = True


class Intake:
    """Turns callers' requests into work for the scheduler.

    Attributes:
        node: Name of this node.
        incarnation: Start time of this node in Unix milliseconds.
        window_seconds: Greatest age of an idempotency key that the node's
            claim ledgers cover.
    """

    def __init__(
        self, node: ids.NodeId, incarnation: int, window_seconds: float
    ):
        self._table_source: declarations.Configuration | None = None
        self._routes = routing.RouteTable({})
        self._api_keys = access.KeyTable({})
        self.node = node
        self.window_seconds = window_seconds
        self.incarnation = incarnation
        self._request_numbers = itertools.count(1)

    def next_request(self) -> ids.RequestId:
        """Returns a new identifier that stays unique across node restarts."""
        return ids.RequestId(
            f"{self.node}-{self.incarnation:x}-{next(self._request_numbers):x}"
        )

    async def accept(
        self,
        exchange: server.Exchange,
        configuration: declarations.Configuration,
        now: float,
        now_ms: int,
    ) -> held.ParsedRequest:
        """Reads and checks a request.

        Args:
            exchange: The request.
            configuration: Configuration in force.
            now: Time on the node's clock in seconds.
            now_ms: Unix time in milliseconds.

        Returns:
            The checked request.

        Raises:
            RequestError: The request is refused.
            PeerGoneError: The caller closed the connection.
        """
        if configuration is not self._table_source:
            self._table_source = configuration
            self._routes = routing.RouteTable(configuration.routes)
            self._api_keys = access.KeyTable(configuration.workspaces)
        host = exchange.headers.get("host", "")
        matched = self._routes.match(host, exchange.path)
        if matched is None:
            raise server.RequestError(
                errors.ErrorKind.NO_ROUTE, f"no route matches {exchange.path}"
            )
        name, route = matched
        if exchange.method not in route.methods:
            raise server.RequestError(
                errors.ErrorKind.METHOD_NOT_ALLOWED,
                f"{exchange.method} is not allowed here; "
                f"use {', '.join(route.methods)}",
            )
        public_id = _identifier(exchange, REQUEST_ID)
        workspace = self._workspace(exchange, route)
        deadline = now + _deadline_seconds(exchange, route)
        await exchange.read_body(route.max_body_bytes)
        request = self.next_request()
        window_seconds = min(
            configuration.keys.window_seconds, self.window_seconds
        )
        key, key_time_ms = _idempotency_key(
            exchange, name, route, workspace, now_ms, window_seconds
        )
        service_name = routing.choose_service(route, public_id or request)
        service = configuration.services[service_name]
        completion = (
            _completion(exchange.body) if service.kind == "engine" else None
        )
        estimated_prompt_tokens = _prompt_tokens(exchange.body, completion)
        expected_output_tokens = _output_tokens(route, completion)
        workspace_share = configuration.workspaces.get(workspace)
        work = effects.Work(
            request=request,
            route=name,
            service=service_name,
            tier=configuration.tier_rank(route),
            workspace=workspace,
            deadline=deadline,
            prompt_tokens=estimated_prompt_tokens,
            output_tokens=expected_output_tokens,
            prefixes=(
                prefixes.digest_prompt(completion.prompt.encode())
                if completion
                else ()
            ),
            content=content_digest(name, exchange),
            needs_claim=not route.idempotent and route.claims,
            idempotent=route.idempotent,
            resumable=route.resumable,
            max_attempts=route.max_attempts,
            cost=quotas.cost(
                workspace_share,
                estimated_prompt_tokens + expected_output_tokens
                if completion
                else None,
            ),
            timeout_seconds=route.timeout_seconds,
        )
        return held.ParsedRequest(
            request=request,
            public_id=public_id or request,
            route_name=name,
            route=route,
            workspace=workspace,
            method=exchange.method,
            target=exchange.target,
            headers=_endpoint_headers(
                exchange, request, public_id, strip_api_key=not route.anonymous
            ),
            body=_engine_body(exchange.body) if completion else exchange.body,
            streaming=completion is not None and completion.stream,
            key=key,
            key_time_ms=key_time_ms,
            work=work,
            arrived=now,
            http_version=exchange.http_version,
        )

    def _workspace(
        self, exchange: server.Exchange, route: declarations.Route
    ) -> ids.Workspace:
        if route.anonymous:
            return ids.Workspace(
                _identifier(exchange, WORKSPACE) or _DEFAULT_WORKSPACE
            )
        key_workspace = self._api_keys.bearer(
            exchange.headers.get("authorization", "")
        )
        if key_workspace is None:
            raise server.RequestError(
                errors.ErrorKind.KEY_UNKNOWN,
                "send an API key as Authorization: Bearer KEY",
            )
        return key_workspace


def content_digest(
    route: ids.RouteName, exchange: server.Exchange
) -> ids.ContentDigest:
    """Returns the digest of a request's route, target and body."""
    digest = xxhash.xxh3_64(f"{route}\x00{exchange.target}\x00".encode())
    digest.update(exchange.body)
    return ids.ContentDigest(digest.intdigest())


def _identifier(exchange: server.Exchange, name: str) -> str:
    value = exchange.headers.get(name, "")
    if len(value) > _MAX_ID_CHARACTERS or not value.isprintable():
        raise server.RequestError(
            errors.ErrorKind.BAD_REQUEST,
            f"{name}: expected up to {_MAX_ID_CHARACTERS} printable characters",
        )
    return value


def _deadline_seconds(
    exchange: server.Exchange, route: declarations.Route
) -> float:
    text = exchange.headers.get(DEADLINE)
    if text is None:
        return route.timeout_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise server.RequestError(
            errors.ErrorKind.BAD_REQUEST,
            f"{DEADLINE}: expected seconds above 0, got {text!r}",
        )
    return min(seconds, route.timeout_seconds)


def _idempotency_key(
    exchange: server.Exchange,
    route_name: ids.RouteName,
    route: declarations.Route,
    workspace: ids.Workspace,
    now_ms: int,
    window_seconds: float,
) -> tuple[ids.KeyHash | None, int]:
    text = exchange.headers.get(IDEMPOTENCY_KEY)
    if text is None:
        if not route.idempotent and route.claims:
            raise server.RequestError(
                errors.ErrorKind.KEY_REQUIRED,
                f"send the header {IDEMPOTENCY_KEY}",
            )
        return None, 0
    parsed = keys.parse_key(text, now_ms, window_seconds)
    if parsed.is_error():
        kind = parsed.error
        raise server.RequestError(
            kind,
            f"{IDEMPOTENCY_KEY}: expected a UUID of version 7 whose time lies "
            f"within the claim window, got {text!r}",
        )
    key = parsed.ok
    return keys.key_hash(workspace, route_name, key), key.time_ms


def _completion(body: bytes) -> _Completion:
    try:
        completion = msgspec.json.decode(body, type=_Completion)
    except (msgspec.DecodeError, RecursionError) as error:
        raise server.RequestError(
            errors.ErrorKind.BAD_REQUEST, f"body: {error}"
        ) from error
    tokens = completion.max_tokens
    if tokens is not None and not 0 < tokens <= _MAX_OUTPUT_TOKENS:
        raise server.RequestError(
            errors.ErrorKind.BAD_REQUEST,
            f"body: max_tokens must be from 1 to {_MAX_OUTPUT_TOKENS}",
        )
    return completion


def _prompt_tokens(body: bytes, completion: _Completion | None) -> int:
    text = body if completion is None else completion.prompt.encode()
    return prefixes.estimate_tokens(text)


def _output_tokens(
    route: declarations.Route, completion: _Completion | None
) -> int:
    if completion is None or completion.max_tokens is None:
        return route.output_tokens
    return min(route.output_tokens, completion.max_tokens)


def _engine_body(body: bytes) -> bytes:
    fields: dict[str, Any] = msgspec.json.decode(body)
    return msgspec.json.encode({**fields, "stream": True})


def _endpoint_headers(
    exchange: server.Exchange,
    request: ids.RequestId,
    public_id: str,
    *,
    strip_api_key: bool,
) -> dict[str, str]:
    """Returns the header fields that the endpoint receives.

    Args:
        exchange: The caller's request.
        request: Identifier inside the system.
        public_id: Identifier that the caller sent, or empty.
        strip_api_key: Whether the authorization field held an API key of this
            system; it is then not passed on.
    """
    forwarded = {
        name: value
        for name, value in adapters.end_to_end(exchange.headers).items()
        if name not in _OWN_HEADERS
        and not (strip_api_key and name == "authorization")
    }
    return {
        **forwarded,
        adapters.ATTEMPT_HEADER: request,
        REQUEST_ID: public_id or request,
    }
