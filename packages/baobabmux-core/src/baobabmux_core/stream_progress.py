"""Progress of a node's running streams, as reported to owners.

An owner detects a slow endpoint from these reports, so streams that are much
slower than the endpoint's average report early.
"""

from collections.abc import Callable, Iterable

from baobabmux_core import effects, held_requests, ids, messages

# Progress is reported at least this often, so that the owner detects a slow
# endpoint within seconds.
INTERVAL_SECONDS = 2.0
# A stream at its endpoint's average rate sends its first `Progress` at this
# age. A slower stream reports at the next interval, and a stream at an endpoint
# without a known rate in between. With earlier reports, progress alone would
# exceed the control bytes that a request may cost.
_FIRST_PROGRESS_SECONDS = 8.0
_UNKNOWN_PROGRESS_SECONDS = 4.0
_SLOW_RATE_SHARE = 0.6
# Weight of one sample in the moving average of an endpoint's stream rate.
_RATE_WEIGHT = 0.2
_MIN_RATE_TOKENS = 8


class StreamProgress:
    """Average stream rates of endpoints, and the reports that follow from them.

    Args:
        owner_of: Returns the owner of a group, or None.
    """

    def __init__(self, owner_of: Callable[[ids.GroupId], ids.NodeId | None]):
        self._owner_of = owner_of
        # Output tokens per second of one stream, by endpoint.
        self._rates: dict[ids.EndpointId, float] = {}
        self._next_report_at = 0.0

    def observe(
        self, held: held_requests.Held, tokens: int, now: float
    ) -> None:
        """Adds a stream's rate to the average of its endpoint."""
        if held.first_token_at is None or tokens < _MIN_RATE_TOKENS:
            return
        seconds = now - held.first_token_at
        if seconds <= 0.0:
            return
        sample = tokens / seconds
        average = self._rates.get(held.endpoint, sample)
        self._rates[held.endpoint] = average + _RATE_WEIGHT * (sample - average)

    def is_due(self, now: float) -> bool:
        """Returns whether reports are due, and schedules the next ones.

        All streams report at once, so that their messages to one owner share a
        frame.
        """
        if now < self._next_report_at:
            return False
        self._next_report_at = max(self._next_report_at + INTERVAL_SECONDS, now)
        return True

    def reports(
        self, running: Iterable[held_requests.Held], now: float
    ) -> list[effects.Effect]:
        """Returns the reports about running requests."""
        return [
            effect for held in running for effect in self._report(held, now)
        ]

    def _report(
        self, held: held_requests.Held, now: float
    ) -> list[effects.Effect]:
        if held.first_token_at is None:
            return []
        age = now - held.first_token_at
        if age < _FIRST_PROGRESS_SECONDS and not self._is_early_report_due(
            held, age
        ):
            return []
        self.observe(held, held.tokens, now)
        owner = self._owner_of(held.group)
        if owner is None:
            return []
        # The owner computes a rate from the tokens and the time until the
        # latest of them. A stalled stream reports the time until now, so that
        # its rate falls.
        stalled = now - held.progressed_at > INTERVAL_SECONDS
        until = now if stalled else held.progressed_at
        elapsed = round((until - held.first_token_at) * 1000)
        message = messages.Progress(
            held.group, held.work.request, held.tokens, elapsed
        )
        return [effects.Send(owner, message)]

    def _is_early_report_due(
        self, held: held_requests.Held, age: float
    ) -> bool:
        """Returns whether the progress of a young stream must be reported.

        This is so if the stream is much slower than the endpoint's average
        rate, or older than a few seconds while that rate is unknown.
        """
        average = self._rates.get(held.endpoint)
        if average is None:
            return age >= _UNKNOWN_PROGRESS_SECONDS
        return age >= INTERVAL_SECONDS and (
            held.tokens < _SLOW_RATE_SHARE * average * age
        )
