"""Plots of goodput by tier against load."""

import pathlib

import matplotlib as mpl
from matplotlib import pyplot as plt

from baobabmux_bench import results

_FAULT_FREE = ("ordinary", "full", "peak-1.5", "peak-3")


def goodput(
    path: pathlib.Path, deployment: str, summaries: list[results.Summary]
) -> None:
    """Draws one panel for each tier with one line for each policy.

    Args:
        path: PNG file to write.
        deployment: Name of the deployment, for the title.
        summaries: Runs of the deployment; runs with faults are not drawn.
    """
    mpl.use("Agg")
    fault_free = [s for s in summaries if s.scenario in _FAULT_FREE]
    tiers = [tier.tier for tier in fault_free[0].tiers]
    policies = list(dict.fromkeys(s.policy for s in fault_free))
    figure, axes = plt.subplots(
        1, len(tiers), figsize=(3.2 * len(tiers), 3.2), sharey=True
    )
    for index, (axis, tier) in enumerate(zip(axes, tiers, strict=True)):
        for policy in policies:
            points = sorted(
                (s.load, 100 * s.tiers[index].goodput())
                for s in fault_free
                if s.policy == policy
            )
            axis.plot(*zip(*points, strict=True), marker="o", label=policy)
        axis.set_title(f"tier {index}: {tier}")
        axis.set_xlabel("load / capacity")
        axis.set_ylim(-3, 103)
        axis.grid(alpha=0.3)
    axes[0].set_ylabel("goodput (%)")
    axes[0].legend(fontsize="small")
    figure.suptitle(f"{deployment}: answers whole and before the deadline")
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    # Without the software entry, equal summaries give identical files.
    figure.savefig(path, dpi=110, metadata={"Software": None})
    plt.close(figure)
