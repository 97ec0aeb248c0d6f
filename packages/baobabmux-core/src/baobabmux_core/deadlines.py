"""Prediction of a request's end, for admission and choice of endpoint."""

import msgspec

# About fifty samples replace the initial values.
_MARGIN_WEIGHT = 0.05
_INITIAL_DEVIATION = 0.25
# One mean absolute deviation covers about 80% of normally distributed errors; a
# wider margin refused more requests than it saved in bursts on a plain service.
_DEVIATIONS = 1.0
_MAX_MARGIN = 4.0
# Errors of shorter predictions are mostly network delays.
_MIN_PREDICTION_SECONDS = 0.05


class Prediction(msgspec.Struct, frozen=True):
    """Predicted times of a request's first and last token.

    Attributes:
        first_token: Time of the first token in seconds.
        end: Time of the last token in seconds.
    """

    first_token: float
    end: float


def predict_end(
    start: float,
    prefill_free_at: float,
    prefill_seconds: float,
    decode_seconds: float,
) -> Prediction:
    """Predicts the end of a request at one endpoint.

    Args:
        start: Time at which the request could be dispatched, in seconds.
        prefill_free_at: Time at which the endpoint will have computed the
            prompts ahead, in seconds.
        prefill_seconds: Time to compute the part of the prompt that is not
            in the endpoint's cache.
        decode_seconds: Time to produce the expected output.

    Returns:
        The predicted times.
    """
    first_token = max(start, prefill_free_at) + prefill_seconds
    return Prediction(first_token, first_token + decode_seconds)


class ErrorMargin:
    """Estimates the ratio of actual times to predicted ones and its spread.

    Attributes:
        mean: Mean ratio of the actual to the predicted time.
        deviation: Mean absolute deviation of that ratio.
    """

    def __init__(self, deviation: float = _INITIAL_DEVIATION):
        self.mean = 1.0
        self.deviation = deviation

    def observe(self, predicted: float, actual: float) -> None:
        """Adds a sample: a predicted and the actual time, both in seconds."""
        if predicted < _MIN_PREDICTION_SECONDS:
            return
        ratio = min(actual / predicted, _MAX_MARGIN)
        error = ratio - self.mean
        self.mean += _MARGIN_WEIGHT * error
        self.deviation += _MARGIN_WEIGHT * (abs(error) - self.deviation)

    def factor(self) -> float:
        """Returns the factor that covers most predictions, at least 1."""
        covered = self.mean + _DEVIATIONS * self.deviation
        return min(_MAX_MARGIN, max(1.0, covered))


def backlog_wait(
    queued_seconds: float, running_seconds: float, slots: float
) -> float:
    """Predicts how long a request behind a backlog waits for a slot.

    The requests ahead occupy all slots in parallel. Of the running ones only
    the first to end matters; on average it ends after the mean remaining time
    divided by their number.

    Args:
        queued_seconds: Slot seconds of the requests ahead in the queue.
        running_seconds: Slot seconds that running requests still need.
        slots: Number of requests that run at a time.

    Returns:
        The wait in seconds.
    """
    usable = max(1.0, slots)
    return (queued_seconds + running_seconds / usable) / usable
