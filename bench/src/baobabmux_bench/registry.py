"""Policies by name."""

from baobabmux_bench import nodes, oracle, policies

_POLICIES: dict[str, type[policies.Policy]] = {
    policy.name: policy
    for policy in (
        policies.RandomChoice,
        policies.LeastOutstanding,
        policies.LeastReported,
        policies.Shares,
        nodes.Grants,
        nodes.EndSoonest,
        nodes.IndependentNodes,
        oracle.Oracle,
    )
}
BASELINES = (
    policies.RandomChoice.name,
    policies.LeastOutstanding.name,
    policies.LeastReported.name,
    policies.Shares.name,
)
COMPARED = (*BASELINES, nodes.Grants.name)
"""Policies that the benchmark runs by default."""


def names() -> list[str]:
    """Returns the names of all policies."""
    return list(_POLICIES)


def create(name: str) -> policies.Policy:
    """Returns a new policy with a name.

    Raises:
        KeyError: There is no such policy.
    """
    return _POLICIES[name]()
