"""Tests of quotas: a workspace sends many times its usual load."""

from hypothesis import given
from hypothesis import strategies as st

from baobabmux_core import declarations, fairness, quotas

_NAME = "bank-a"
_HASH = fairness.workspace_hash(_NAME)


def _workspaces(rate=100.0, burst=100.0):
    quota = declarations.Quota(rate, burst, unit="tokens")
    return {_NAME: declarations.WorkspaceShare(quota=quota)}


def _ledger(now=0.0, **fields):
    ledger = quotas.QuotaLedger()
    ledger.configure(_workspaces(**fields), now)
    return ledger


@given(
    st.lists(st.tuples(st.floats(0.0, 0.5), st.integers(1, 60)), max_size=200),
    st.sampled_from([1.0, 0.5]),
)
def test_any_window_stays_within_rate_and_burst(arrivals, share):
    """Guards against granting a workspace more than its quota in a burst."""
    ledger = _ledger()
    ledger.share = share
    now = 0.0
    taken = []
    for pause, cost in arrivals:
        now += pause
        if ledger.take(_HASH, cost, now) is None:
            taken.append((now, cost))
    for first, (start, _) in enumerate(taken):
        for end, _ in taken[first:]:
            used = sum(cost for at, cost in taken if start <= at <= end)
            # A request above the share of the burst leaves a debt.
            allowed = share * (100.0 * (end - start) + 100.0) + 60
            assert used <= allowed + 1e-6


def test_refusal_states_the_seconds_until_the_quota_suffices():
    """Guards against a Retry-After that is too short or too long."""
    ledger = _ledger()
    assert ledger.take(_HASH, 20, 0.0) is None
    wait = ledger.take(_HASH, 40, 0.0)
    assert wait > 0.0
    assert ledger.take(_HASH, 40, wait - 0.05) is not None
    assert ledger.take(_HASH, 40, wait + 0.001) is None


def test_new_configuration_keeps_the_level_of_a_quota():
    """Guards against a configuration change that refills a quota."""
    ledger = _ledger()
    assert ledger.take(_HASH, 36, 0.0) is None
    ledger.configure(_workspaces(), 0.0)
    assert ledger.take(_HASH, 5, 0.0) is not None
    ledger.configure(_workspaces(rate=10.0, burst=10.0), 0.0)
    assert ledger.take(_HASH, 5, 0.0) is not None


def test_workspace_without_quota_is_not_limited():
    """Guards against a limit for a workspace without a declared quota."""
    assert _ledger().take(fairness.workspace_hash("other"), 10**9, 0.0) is None


def test_new_owner_starts_with_its_part_of_the_tolerance():
    """Guards against refusals below the quota after a change of owners.

    A new owner does not know the levels of its predecessor's buckets.
    """
    wide = quotas.Tolerance(window_seconds=8.0, share=0.1, units=200.0)
    ledger = quotas.QuotaLedger(wide)
    ledger.configure(_workspaces(), 0.0)
    assert ledger.level(_HASH) == 100.0
    # Without a tolerance, two changes of owners cost 0.08 of the limit.
    assert 30.0 < _ledger().level(_HASH) < 0.08 * (100.0 * 10.0 + 100.0) / 2


def test_new_owner_keeps_units_for_streams_that_are_taken_up():
    """Guards against new requests that use up what interrupted callers need.

    Their streams broke off because all nodes ended, and come back at once.
    """
    wide = quotas.Tolerance(window_seconds=8.0, share=0.1, units=200.0)
    ledger = quotas.QuotaLedger(wide, is_acting=False)
    ledger.configure(_workspaces(), 0.0)
    ledger.act(0.0)
    start = ledger.level(_HASH)
    while ledger.take(_HASH, 1, 0.0) is None:
        pass
    left = ledger.level(_HASH)
    assert left >= 0.2 * start
    assert ledger.take(_HASH, round(left) - 1, 0.0, resumes=True) is None
    # A settled owner keeps nothing back.
    assert ledger.take(_HASH, 90, 9.0) is None


def test_node_that_starts_with_all_others_has_its_start_once_it_reaches_them():
    """Guards against refusals after all nodes have ended and started again.

    For some tenths of a second each knows nobody else, and has an eighth.
    """
    wide = quotas.Tolerance(window_seconds=8.0, share=0.1, units=200.0)
    ledger = quotas.QuotaLedger(wide, is_acting=False)
    ledger.set_share(0.125, 0.0)
    ledger.is_joining = True
    ledger.configure(_workspaces(), 0.0)
    ledger.act(0.0)
    while ledger.take(_HASH, 1, 0.0, resumes=True) is None:
        pass
    ledger.set_share(1.0, 0.3)
    start = ledger.level(_HASH)
    assert start >= 60.0
    # A cut that heals later gives nothing more.
    while ledger.take(_HASH, 1, 0.3, resumes=True) is None:
        pass
    ledger.set_share(0.5, 0.3)
    ledger.set_share(1.0, 0.4)
    assert ledger.level(_HASH) <= 0.1 * 100.0 + 1.0
