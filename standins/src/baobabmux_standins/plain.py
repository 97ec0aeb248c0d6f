"""Stand-in for a plain HTTP service, which counts its runs."""

import hashlib
import json
from typing import Any

import curio

from baobabmux_standins import server, standin


class Plain(standin.StandIn):
    """A plain service; each request that is not refused is one run.

    The answer contains the number of the run and the digest of the request's
    body, so that a test can detect an answer that belongs to another request.
    In a JSON body, the member `answer_status` sets the status of the answer,
    `answer_bytes` the length of its padding and `run_seconds` the time that
    the run takes.

    Args:
        run_seconds: Default time that a run takes.
        max_requests: Runs at the same time; others wait.
    """

    faults_type = standin.EndpointFaults

    def __init__(self, run_seconds: float = 0.02, max_requests: int = 16):
        super().__init__()
        self._run_seconds = run_seconds
        self._slots = curio.Semaphore(max_requests)
        self._fault_budget = standin.FaultBudget()
        self._runs = standin.RunCounter()
        self._last_run = 0

    async def on_faults_set(self) -> None:
        """Resets the number of answers that are still to be faulty."""
        self._fault_budget.set(self.faults)

    def counts(self) -> dict[str, Any]:
        """Returns the counts of runs."""
        return self._runs.counts()

    async def handle(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        """Runs a request of any method and path."""
        faults = self._fault_budget.take(self.faults, request.body)
        options = _options(request.body)
        marker = self._runs.start(request)
        async with self._slots:
            self._last_run += 1
            run = self._last_run
            await curio.sleep(options.get("run_seconds", self._run_seconds))
        self._runs.end(marker, "finished")
        answer = {
            "run": run,
            "method": request.method,
            "path": request.path,
            "marker": marker,
            "digest": hashlib.sha256(request.body).hexdigest(),
        }
        if padding := options.get("answer_bytes", 0):
            answer["padding"] = "x" * padding
        echo = standin.answer_fields(request, self.faults)
        await standin.send_faulty(
            reply,
            json.dumps(answer).encode(),
            echo,
            faults,
            options.get("answer_status", 200),
        )


def _options(body: bytes) -> dict[str, Any]:
    try:
        options = json.loads(body)
    except ValueError:
        return {}
    return options if isinstance(options, dict) else {}
