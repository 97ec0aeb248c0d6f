"""Tests of claims during an outage of the log."""

import curio

from baobabmux_core import claims, membership, messages
from baobabmux_node import claim_service, log_service

_ENTRY = messages.ClaimEntry(8, "a1", "n1", 5, 1_000)


class _UnreachableLog:
    """Stand-in for an unreachable log service that counts calls."""

    def __init__(self):
        self.reads = 0
        self.appends = 0

    async def read(self, *arguments, **options):
        self.reads += 1
        raise log_service.LogError("down")

    async def append(self, *arguments):
        self.appends += 1
        raise log_service.LogError("down")


async def _send_nothing(to, message):
    pass


async def _claim_in_outage(log):
    service = claim_service.ClaimService(
        "n1",
        "col-a",
        log,
        membership.Membership("n1", "col-a", 0.0),
        _send_nothing,
        3600.0,
    )
    first = await service.claim(_ENTRY)
    while log.reads < 3:
        await curio.sleep(0.01)
    appends_before = log.appends
    second_entry = messages.ClaimEntry(8, "a2", "n1", 5, 1_000)
    return (
        first,
        await service.claim(second_entry),
        log.appends - appends_before,
    )


def test_claim_in_a_known_outage_is_refused_at_once():
    """Guards against claims that wait for a log known to be unreachable.

    Each claim would otherwise wait for its timeout throughout the outage.
    """
    first, second, appends = curio.run(_claim_in_outage, _UnreachableLog())
    for result in (first, second):
        verdict = claims.interpret_answer(
            result.answer, _ENTRY, lambda node: True
        )
        assert verdict is claims.ClaimVerdict.UNAVAILABLE
    # The second claim was not queued, so it cannot be in the log.
    assert not second.in_doubt
    assert appends == 0
