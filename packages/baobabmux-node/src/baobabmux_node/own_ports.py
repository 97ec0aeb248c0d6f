"""Platform interface of a node that uses the product's own services."""

import zlib
from typing import TYPE_CHECKING

import curio

from baobabmux_core import catalogue, declarations, rendezvous
from baobabmux_node import (
    claim_service,
    clock,
    config_follower,
    endpoint_reports,
    intake,
    log_service,
    order_service,
    ports,
    protocols,
    vms,
)

if TYPE_CHECKING:
    from baobabmux_node import node

_VM_POLL_INTERVAL_SECONDS = 1.0
_SNAPSHOT_INTERVAL_SECONDS = 30.0

Kind = catalogue.EventKind


class OwnPorts(ports.Ports):
    """Connects a node to the log service, the VM list and the engines.

    Attributes:
        protocol: Protocol of callers and endpoints.
        config: Source of the declarations.
        log: Client of the log service.
        claims: Service that claims idempotency keys.
    """

    def __init__(self, host: "node.Node"):
        settings = host.settings
        self._host = host
        self.log = log_service.LogService(str(settings.log))
        self.config = config_follower.ConfigFollower(
            self.log,
            settings.log_retention_seconds,
            host.apply_configuration,
            zlib.crc32(settings.node.encode()),
        )
        self.claims = claim_service.ClaimService(
            settings.node,
            settings.data_centre,
            self.log,
            host.membership,
            host.peers.send,
            settings.claim_window_seconds,
        )
        self._reports = endpoint_reports.EndpointReports(host)
        self._orders = order_service.OrderService(host, self.log)
        self.protocol = protocols.OwnProtocol(
            intake.Intake(
                settings.node,
                host.peers.incarnation,
                settings.claim_window_seconds,
            )
        )

    def jobs(self) -> list[ports.Job]:
        """Returns the tasks that follow the log, VM list and engines."""
        return [
            self._poll_vms,
            self.config.follow,
            self._reports.run,
            self._orders.follow,
            self._orders.run,
            self._append_snapshots,
        ]

    def configuration_changed(
        self, configuration: declarations.Configuration
    ) -> None:
        """Passes the declared endpoints to the order controller."""
        self._orders.controller.configure(configuration.endpoints)

    async def finish_writes(self) -> None:
        """Waits for pending claim records and releases the order lease."""
        await self.claims.wait_for_appends()
        await self._orders.release()

    def reachable(self) -> bool:
        """Returns whether the last call to the log service succeeded."""
        return self.log.reachable

    def appends(self) -> int:
        """Returns the number of appends to the log service."""
        return self.log.appends

    async def _poll_vms(self) -> None:
        settings = self._host.settings
        client = vms.VmListClient(str(settings.vms), settings.data_centre)
        reachable = True
        while True:
            vm_list = await client.fetch(clock.now())
            if vm_list is not None:
                self._host.membership.apply_vm_list(
                    vm_list.vms, vm_list.as_of_ms / 1000, clock.now()
                )
            if (vm_list is not None) != reachable:
                reachable = vm_list is not None
                self._host.events.record(
                    Kind.VM_LIST_REACHED, reachable=reachable
                )
            await curio.sleep(_VM_POLL_INTERVAL_SECONDS)

    async def _append_snapshots(self) -> None:
        host = self._host
        while True:
            await curio.sleep(_SNAPSHOT_INTERVAL_SECONDS)
            nodes = host.membership.reachable()
            appender = rendezvous.owner(config_follower.STREAM, nodes)
            if (
                appender == host.settings.node
                and await self.config.append_snapshot()
            ):
                host.events.record(
                    Kind.SNAPSHOT_APPENDED, through=self.config.through
                )
