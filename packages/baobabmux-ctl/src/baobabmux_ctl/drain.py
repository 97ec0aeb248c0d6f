"""Command `drain`: keeps new work from an endpoint."""

from absl import flags

from baobabmux_ctl import command, exits, nodes, output


class Drain(command.Command):
    """Sets or ends the drain of one endpoint."""

    name = "drain"
    usage = "ENDPOINT --nodes IP:PORT,… [--undo] [--json]"
    summary = "Keeps new work from an endpoint; work in flight continues."
    details = (
        "One node is enough: it tells the others. A drain is not kept in the\n"
        "log, so a node that starts later does not know of it; take the\n"
        "endpoint out of the declarations for good."
    )

    def __init__(self):
        super().__init__()
        self._define_nodes()
        self._define(flags.DEFINE_bool, "undo", False, "End the drain.")

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Sets or ends the drain."""
        endpoint = self._single_argument(arguments, "endpoint")
        wanted = not self.flags.undo
        answers = nodes.drain(self._node_addresses(), endpoint, wanted)
        nodes.require_answers(answers)
        if self.flags.json:
            output.result_json(
                {
                    "endpoint": endpoint,
                    "drain": wanted,
                    "nodes": sorted(answers.found),
                    "unreachable": answers.missing,
                }
            )
        else:
            state = "drained" if wanted else "no longer drained"
            output.result(f"{endpoint} is {state}")
        return exits.ExitCode.DONE
