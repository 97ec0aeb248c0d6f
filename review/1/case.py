"""An answer that a node cuts short reaches its client as a complete success.

Clients look something up on kept connections. The replicas send their answers
without a length; they end with their connections. With the disruption one of
three replicas is slow for some seconds: its answers arrive part by part, whole
and within the route's timeout. The node ends their connections in the middle.
"""

import asyncio
import collections
import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import site_standins as standins  # noqa: E402

NODES = 3
CLIENTS_OF_NODE = 5
# As on the site for `par-check`.
TIMEOUT_MS = 2000
DEADLINE_MS = 4000
BODY_BYTES = 800
PARTS = 18
# The longest run of the site takes 450 ms, four times as long 1.8 s.
USUAL_SECONDS = 0.45
SLOW_FACTOR = 4
SLOW_FROM, SLOW_UNTIL = 8.0, 14.5
ENDS_AT = 18.0


def whole_body(request):
    """Returns the body of the answer to a request."""
    text = f"start of {request} " + "." * BODY_BYTES
    return text[: BODY_BYTES - 4].encode() + b" end"


class LookupReplica(standins.Replica):
    """A sound replica of the plain service that sends no lengths.

    Attributes:
        seconds: Time that it takes to send an answer.
    """

    seconds = USUAL_SECONDS

    async def handle(self, head, body, writer):
        """Answers a lookup part by part."""
        request = head.get("x-request-id")
        echo = {"X-Request-Id": request}
        if head.get("x-expect-instance") != self.name:
            await standins.answer(writer, 421, echo, b"{}")
            return True
        self._record.add(f"run {self.name} {request}")
        fields = {**echo, "X-Server-Stamp": f"stamp.{self.name}.{request}"}
        writer.write(standins.head_bytes("HTTP/1.1 200 OK", fields))
        data = whole_body(request)
        step = -(-len(data) // PARTS)
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            await writer.drain()
            await asyncio.sleep(self.seconds / PARTS)
        self.completed.add(request)
        self._record.add(f"sent whole {self.name} {request}")
        return False


class Client:
    """Sends lookups on a kept connection, one after the other."""

    def __init__(self, site, node, number):
        self.site = site
        self.node = node
        self.name = f"{node.name}-client-{number}"
        self.answers = collections.Counter()
        # Requests whose success is not the replica's whole body.
        self.mixed = []

    async def run(self):
        """Sends requests until cancelled."""
        connection = standins.Connection(self.node.frontend)
        for number in itertools.count(1):
            request = f"{self.name}-{number}"
            got = await connection.call(
                "/lookup/1", standins.fields_of(request, DEADLINE_MS), b""
            )
            self.site.record.add(
                f"answer {request} {got.status} whole {got.is_complete} "
                f"{len(got.body)} bytes {got.fields.get('x-server-stamp', '')}"
            )
            self.answers[got.status if got.is_complete else "broken"] += 1
            is_success = got.status == 200 and got.is_complete
            if is_success and got.body != whole_body(request):
                self.mixed.append((request, len(got.body)))
            if not got.is_complete:
                connection = standins.Connection(self.node.frontend)
            await asyncio.sleep(0.1)


async def script(site):
    """Returns the exit code of the case."""
    values = standins.configuration(1)
    for route in values["routes"]:
        if route["routeType"] != "stream":
            route["timeoutMs"] = TIMEOUT_MS
    values["tenants"] = [{"name": standins.TENANT, "apiKeys": [standins.KEY]}]
    site.write_configuration(values)
    replicas = [
        await site.add_replica(
            f"i-desk-{number}", "desk-app", slots=6, kind=LookupReplica
        )
        for number in range(3)
    ]
    await site.add_replica("i-lm", "lm-pool")
    await site.add_nodes(NODES)
    if not await site.wait_ready():
        return 2
    clients = [
        Client(site, node, number)
        for node in site.nodes
        for number in range(CLIENTS_OF_NODE)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(max(0.0, SLOW_FROM - site.record.now()))
    if standins.trouble():
        replicas[0].seconds *= SLOW_FACTOR
        site.record.add(f"{replicas[0].name} turns slow")
    await asyncio.sleep(max(0.0, SLOW_UNTIL - site.record.now()))
    replicas[0].seconds = USUAL_SECONDS
    await asyncio.sleep(max(0.0, ENDS_AT - site.record.now()))
    for task in tasks:
        task.cancel()
    return judge(site, clients)


def judge(site, clients):
    """Applies the rule MIXED: a success has the replica's whole body."""
    answers = collections.Counter()
    mixed = []
    for client in clients:
        answers += client.answers
        mixed += client.mixed
    if not answers[200]:
        return 2
    site.record.add(f"answers: {dict(answers)}")
    for request, length in mixed:
        site.record.add(
            f"{request}: success with {length} of {BODY_BYTES} bytes"
        )
    site.record.add(
        f"{len(mixed)} successes without the whole body: MIXED is "
        f"{'broken' if mixed else 'kept'}"
    )
    return int(bool(mixed))


if __name__ == "__main__":
    sys.exit(standins.run(FOLDER, script, limit_seconds=60.0))
