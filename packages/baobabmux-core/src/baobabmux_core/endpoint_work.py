"""What an endpoint does at a time, as its group's owner estimates it."""

import enum

import msgspec


class PromptOrder(enum.Enum):
    """How an endpoint reads several prompts."""

    IN_TURN = "in_turn"
    SHARED = "shared"


class Ahead(msgspec.Struct, frozen=True):
    """Prompt tokens that delay a request, for each order of reading.

    Attributes:
        in_turn: All tokens of the prompts before it.
        shared: Of each such prompt, at most as many as its own.
    """

    in_turn: float = 0.0
    shared: float = 0.0

    def tokens(self, order: PromptOrder) -> float:
        """Returns the tokens for an order."""
        return self.in_turn if order is PromptOrder.IN_TURN else self.shared


class PromptQueue:
    """Prompts that an endpoint is estimated to read now.

    Attributes:
        left: Tokens left of each prompt, in order of arrival.
    """

    def __init__(self):
        self.left: dict[str, float] = {}
        self._as_of = 0.0
        self._busy_since = 0.0

    def advance(self, rate: float, order: PromptOrder, now: float) -> None:
        """Reads prompts up to a time.

        Args:
            rate: Prompt tokens that are read in a second.
            order: Order of reading.
            now: Time in seconds.
        """
        budget = max(0.0, now - self._as_of) * rate
        self._as_of = max(self._as_of, now)
        while self.left and budget > 0.0:
            if order is PromptOrder.IN_TURN:
                name = next(iter(self.left))
                count = 1
            else:
                name = min(self.left, key=self.left.__getitem__)
                count = len(self.left)
            part = min(self.left[name], budget / count)
            budget -= part * count
            if order is PromptOrder.IN_TURN:
                self.left[name] -= part
            else:
                for other in self.left:
                    self.left[other] -= part
            if self.left[name] > 0.5:
                return
            del self.left[name]

    def add(self, name: str, tokens: float, now: float) -> None:
        """Adds a prompt that arrives now; call `advance` first."""
        if not self.left:
            self._busy_since = now
        self.left[name] = tokens

    def busy_seconds(self, now: float) -> float:
        """Returns for how long prompts have been read without a break."""
        return max(0.0, now - self._busy_since) if self.left else 0.0

    def ahead(self, own: float) -> Ahead:
        """Returns what delays a prompt that arrives now."""
        if not self.left:
            return Ahead()
        return Ahead(
            sum(self.left.values()),
            sum(min(own, left) for left in self.left.values()),
        )

    def tokens(self) -> float:
        """Returns the tokens still to read."""
        return sum(self.left.values())


class Work(msgspec.Struct, frozen=True):
    """Work of an endpoint until a moment.

    Attributes:
        slot_seconds: Seconds of all its streams together.
        prompt_tokens: Prompt tokens of all requests that it was sent.
    """

    slot_seconds: float = 0.0
    prompt_tokens: int = 0

    def since(self, before: "Work") -> "Work":
        """Returns the work after an earlier moment."""
        return Work(
            self.slot_seconds - before.slot_seconds,
            self.prompt_tokens - before.prompt_tokens,
        )


class WorkCounter:
    """Counts the work of an endpoint.

    Attributes:
        work: Work until the last count.
    """

    def __init__(self):
        self.work = Work()
        self._as_of = 0.0

    def count(self, streams: int, prompt_tokens: int, now: float) -> Work:
        """Adds the time since the last count, and returns the work.

        Args:
            streams: Streams since then.
            prompt_tokens: Prompt tokens of a request that it is sent now.
            now: Current time in seconds.
        """
        seconds = max(0.0, now - self._as_of)
        self._as_of = max(now, self._as_of)
        self.work = Work(
            self.work.slot_seconds + seconds * streams,
            self.work.prompt_tokens + prompt_tokens,
        )
        return self.work
