"""Keeps the orders of roll-outs and their results in the platform's store.

An order is taken up, and its result written, with a condition: the write takes
effect only if nothing was written since the store was read. Of two owners that
decide differently one therefore fails and adopts what the other has written,
and an owner that takes over goes on where the last one was.
"""

import abc

import msgspec

from baobabmux_core import ids, rollout_trials, rollouts

Phase = rollout_trials.Phase

# Tries of a conditional write in one step; the next step goes on.
_MAX_TRIES = 4
# Results by the phases in which they remain to be written.
_DECIDED = {Phase.FINISHING: "completed", Phase.REVERTING: "rolled_back"}
IN_PROGRESS = "in_progress"
"""State of an order without a result."""


class Taken(msgspec.Struct, frozen=True):
    """An order that was taken up, as the store keeps it.

    Attributes:
        number: Number of the order.
        target: Version that the service is moved to.
        seconds: Time from the order to its deadline.
        began_ms: Unix time of the order in milliseconds.
        since: Position of the results before the order.
        phase: Value of the `rollout_trials.Phase` that was recorded last.
        refused: Number of the last order that was turned away.
    """

    number: int
    target: str
    seconds: float
    began_ms: int
    since: int
    phase: int = 0
    refused: int = -1


class LedgerError(Exception):
    """The store did not answer; a write may take effect later."""


class Ledger(abc.ABC):
    """Records of roll-outs in the platform's store.

    Positions increase with each write. All methods raise `LedgerError`.
    """

    @abc.abstractmethod
    async def taken(self, service: ids.ServiceName) -> tuple[Taken | None, int]:
        """Returns the order of a service and the position after the records."""

    @abc.abstractmethod
    async def take(
        self, service: ids.ServiceName, taken: Taken, at: int
    ) -> bool:
        """Writes the order of a service.

        Returns:
            Whether nothing was written since the position `at`; otherwise
            nothing was done.
        """

    @abc.abstractmethod
    async def result(
        self, service: ids.ServiceName, since: int
    ) -> tuple[str | None, int]:
        """Returns the state written from a position on, and the end."""

    @abc.abstractmethod
    async def write_result(
        self, service: ids.ServiceName, target: str, state: str, at: int
    ) -> bool:
        """Writes the state of an order; see `take`."""


class RolloutWriter:
    """Carries the orders of one node between its scheduler and the store."""

    def __init__(self, known: rollouts.Rollouts, ledger: Ledger):
        self._known = known
        self._ledger = ledger
        self._taken: dict[ids.ServiceName, Taken] = {}

    async def restore(
        self, order: rollout_trials.Order, now: float, now_ms: int
    ) -> str | None:
        """Takes an order of unknown age, as read at the start.

        Returns:
            None, or why it was turned away.

        Raises:
            LedgerError: The store did not answer; nothing has changed.
        """
        taken, _ = await self._ledger.taken(order.service)
        if taken is None or taken.number < order.number > taken.refused:
            if taken is not None:
                self._resume(order.service, taken, now, now_ms)
            return self._known.ordered(order, now)
        self._resume(order.service, taken, now, now_ms)
        return None

    def _resume(
        self, service: ids.ServiceName, taken: Taken, now: float, now_ms: int
    ) -> None:
        age = max(0.0, (now_ms - taken.began_ms) / 1000)
        order = rollout_trials.Order(
            service, taken.target, taken.seconds, taken.number, now - age
        )
        self._taken[service] = taken
        self._known.resumed(order, Phase(taken.phase))

    async def step(self, now: float, now_ms: int) -> None:
        """Writes what this node has to write, and reads what is decided.

        Raises:
            LedgerError: The store did not answer; the next step goes on.
        """
        for service, standing in list(self._known.standings.items()):
            taken = self._taken.get(service)
            if (
                taken is not None
                and taken.number == standing.order.number
                and taken.phase == standing.phase.value
            ):
                await self._refuse(service, taken)
                is_decided = standing.phase in _DECIDED
                if not is_decided or not self._known.leads(service):
                    continue
            elif not self._known.leads(service):
                continue
            else:
                taken = await self._take(standing, now, now_ms)
            if taken is not None and standing.phase in _DECIDED:
                await self._decide(standing, taken)

    async def follow(self, service: ids.ServiceName) -> None:
        """Reads the result of an order, as its owner is not heard.

        Raises:
            LedgerError: The store did not answer.
        """
        standing = self._known.standings.get(service)
        if standing is None:
            return
        taken, _ = await self._ledger.taken(service)
        if taken is None or taken.number != standing.order.number:
            return
        state, _ = await self._ledger.result(service, taken.since)
        self._adopt(standing, state)

    async def _take(
        self, standing: rollouts.Standing, now: float, now_ms: int
    ) -> Taken | None:
        """Writes the order and its phase; returns them as written."""
        order = standing.order
        for _ in range(_MAX_TRIES):
            known, at = await self._ledger.taken(order.service)
            if known is not None and known.number > order.number:
                return None
            is_same = known is not None and known.number == order.number
            if is_same and known.phase >= standing.phase.value:
                self._taken[order.service] = known
                return known
            since = known.since if is_same else None
            if since is None:
                _, since = await self._ledger.result(order.service, 0)
            age_ms = round((now - order.began_at) * 1000)
            taken = Taken(
                order.number,
                order.target,
                order.seconds,
                known.began_ms if is_same else now_ms - age_ms,
                since,
                standing.phase.value,
                -1 if known is None else known.refused,
            )
            if await self._ledger.take(order.service, taken, at):
                self._taken[order.service] = taken
                if not is_same:
                    await self._write(standing, taken, IN_PROGRESS)
                return taken
        return None

    async def _decide(self, standing: rollouts.Standing, taken: Taken) -> None:
        """Writes the result, or adopts the one that another has written."""
        state = await self._write(standing, taken, _DECIDED[standing.phase])
        self._adopt(standing, state)

    async def _write(
        self, standing: rollouts.Standing, taken: Taken, state: str
    ) -> str | None:
        """Writes a state unless there is a result; returns what is written."""
        order = standing.order
        for _ in range(_MAX_TRIES):
            written, at = await self._ledger.result(order.service, taken.since)
            if written in ("completed", "rolled_back") or written == state:
                return written
            if await self._ledger.write_result(
                order.service, order.target, state, at
            ):
                return state
        return None

    def _adopt(self, standing: rollouts.Standing, state: str | None) -> None:
        if state in ("completed", "rolled_back"):
            self._known.decided(
                standing.order.service,
                standing.order.number,
                state == "completed",
            )

    async def _refuse(self, service: ids.ServiceName, taken: Taken) -> None:
        """Records an order that was turned away, so that none takes it up."""
        number, _ = self._known.rejected.get(service, (-1, ""))
        if number <= max(taken.refused, taken.number):
            return
        if not self._known.leads(service):
            return
        known, at = await self._ledger.taken(service)
        if known is None or known.number != taken.number:
            return
        refused = msgspec.structs.replace(known, refused=number)
        if await self._ledger.take(service, refused, at):
            self._taken[service] = refused
