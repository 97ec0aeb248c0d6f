"""Command `drain`: stops new requests to an endpoint."""

from absl import flags

from baobabmux_ctl import command, exits, nodes, output


class Drain(command.Command):
    """Starts or ends the draining of one endpoint."""

    name = "drain"
    usage = "ENDPOINT --nodes IP:PORT,… [--undo] [--json]"
    summary = "Stops new requests to an endpoint; running ones continue."
    details = (
        "One node is enough: it forwards the drain to the others. A drain is\n"
        "not stored in the log, so nodes that start later do not have it; to\n"
        "remove an endpoint permanently, delete it from the declarations."
    )
    interrupted = "some nodes may have received the drain"

    def __init__(self):
        super().__init__()
        self._define_nodes()
        self._define(flags.DEFINE_bool, "undo", False, "End the drain.")

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Starts or ends the draining."""
        endpoint = self._single_argument(arguments, "endpoint")
        draining = not self.flags.undo
        answers = nodes.drain(self._node_addresses(), endpoint, draining)
        nodes.require_answers(answers)
        if self.flags.json:
            output.result_json(
                {
                    "endpoint": endpoint,
                    "drain": draining,
                    "nodes": sorted(answers.found),
                    "unreachable": answers.missing,
                }
            )
        else:
            state = "drained" if draining else "no longer drained"
            output.result(f"{endpoint} is {state}")
        return exits.ExitCode.DONE
