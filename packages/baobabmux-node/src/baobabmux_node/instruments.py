"""Counters, gauges and histograms that cost little until they are read.

`prometheus_client` is imported for the first page of metrics: few nodes are
ever asked for one, and the import is a tenth of the cost of a start.
"""

import abc
import bisect
from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import prometheus_client
    from prometheus_client import core


class Value:
    """The value of a counter or a gauge for one set of label values.

    Attributes:
        value: Current value.
    """

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Adds an amount."""
        self.value += amount

    def set(self, value: float) -> None:
        """Replaces the value."""
        self.value = float(value)


class Distribution:
    """The observations of a histogram for one set of label values.

    Attributes:
        bounds: Upper bounds of the buckets, ascending.
        counts: Observations by bucket; the last one has no bound.
        total: Sum of the observations.
    """

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: Sequence[float]):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Adds an observation."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value


class Instrument(abc.ABC):
    """Values of one metric by the values of its labels.

    Attributes:
        name: Name of the metric.
        text: Its description.
        label_names: Names of its labels.
        children: Values by the values of the labels.
    """

    def __init__(self, name: str, text: str, label_names: Sequence[str]):
        self.name = name
        self.text = text
        self.label_names = tuple(label_names)
        self.children = {}
        if not self.label_names:
            self.labels()

    def labels(self, *values: str):
        """Returns the value for some label values.

        Raises:
            ValueError: The metric has another number of labels.
        """
        child = self.children.get(values)
        if child is None:
            if len(values) != len(self.label_names):
                raise ValueError(f"{self.name}: wrong number of labels")
            child = self.children[values] = self._new_child()
        return child

    def clear(self) -> None:
        """Removes the values of all labels."""
        self.children.clear()

    @abc.abstractmethod
    def family(self) -> "core.Metric":
        """Returns the samples of the metric in prometheus_client's form."""

    @abc.abstractmethod
    def _new_child(self):
        """Returns the first value for new label values."""


class _Number(Instrument):
    def _new_child(self) -> Value:
        return Value()

    @property
    def value(self) -> float:
        """The value of a metric without labels."""
        return self.children[()].value

    def inc(self, amount: float = 1.0) -> None:
        """Adds to a metric without labels."""
        self.children[()].inc(amount)

    def _fill(self, family: "core.Metric") -> "core.Metric":
        for values, child in self.children.items():
            family.add_metric([str(value) for value in values], child.value)
        return family


class Counter(_Number):
    """A number that never decreases."""

    def family(self) -> "core.Metric":
        """Returns the samples; see the base class."""
        from prometheus_client import core  # noqa: PLC0415

        return self._fill(
            core.CounterMetricFamily(
                self.name, self.text, labels=self.label_names
            )
        )


class Gauge(_Number):
    """A number that may decrease."""

    def set(self, value: float) -> None:
        """Replaces the value of a gauge without labels."""
        self.children[()].set(value)

    def family(self) -> "core.Metric":
        """Returns the samples; see the base class."""
        from prometheus_client import core  # noqa: PLC0415

        return self._fill(
            core.GaugeMetricFamily(
                self.name, self.text, labels=self.label_names
            )
        )


class Histogram(Instrument):
    """Observations by buckets."""

    def __init__(
        self,
        name: str,
        text: str,
        label_names: Sequence[str],
        bounds: Sequence[float],
    ):
        """Creates the histogram.

        Args:
            name: Name of the metric.
            text: Its description.
            label_names: Names of its labels.
            bounds: Upper bounds of the buckets, ascending.
        """
        self.bounds = tuple(map(float, bounds))
        super().__init__(name, text, label_names)

    def _new_child(self) -> Distribution:
        return Distribution(self.bounds)

    def family(self) -> "core.Metric":
        """Returns the samples; see the base class."""
        from prometheus_client import core, utils  # noqa: PLC0415

        family = core.HistogramMetricFamily(
            self.name, self.text, labels=self.label_names
        )
        limits = [utils.floatToGoString(bound) for bound in self.bounds]
        for values, child in self.children.items():
            buckets = []
            total = 0
            for limit, count in zip(
                [*limits, "+Inf"], child.counts, strict=True
            ):
                total += count
                buckets.append((limit, total))
            family.add_metric(
                [str(value) for value in values], buckets, child.total
            )
        return family


class _Collector:
    def __init__(self, instruments: Sequence[Instrument]):
        self._instruments = instruments

    def collect(self):
        return [instrument.family() for instrument in self._instruments]


def registry(
    instruments: Sequence[Instrument],
) -> "prometheus_client.CollectorRegistry":
    """Returns a registry that reads the instruments when it is rendered."""
    import prometheus_client  # noqa: PLC0415

    found = prometheus_client.CollectorRegistry()
    found.register(_Collector(instruments))
    return found


def page(found: "prometheus_client.CollectorRegistry") -> bytes:
    """Returns the metrics of a registry in the Prometheus text format."""
    import prometheus_client  # noqa: PLC0415

    return prometheus_client.generate_latest(found)
