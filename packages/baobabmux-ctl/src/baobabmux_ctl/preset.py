"""Command `preset`: switches the active preset."""

from baobabmux_core import configuration
from baobabmux_ctl import (
    command,
    exits,
    log_service,
    publication,
    publish,
    validate,
)

_ADDRESS = "active/preset"


class Preset(command.Command):
    """Publishes another active preset and nothing else."""

    name = "preset"
    usage = "use NAME --log IP:PORT [--operation ID] [--json]"
    summary = "Switches to another declared preset."

    def __init__(self):
        super().__init__()
        self._define_log()
        self._define_publishing()

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Switches the preset."""
        if len(arguments) != 2 or arguments[0] != "use":
            raise self.usage_error("expected `use` and one name")
        publisher = publication.Publisher(
            log_service.LogService(self._log_address()),
            self.flags.operation,
            self.flags.wait_seconds,
        )
        publisher.read()
        earlier_report = publisher.decided_report()
        if earlier_report is not None:
            return publication.print_report(earlier_report, self.flags.json)
        table = {"name": arguments[1]}
        in_force = publisher.state.tables
        if in_force.get("active", {}).get("preset") == table:
            delta = publication.Delta({}, [])
        else:
            delta = publication.Delta({_ADDRESS: table}, [])
        changed = configuration.apply_delta(in_force, delta.set, delta.delete)
        if changed.is_error():
            validate.raise_errors([str(error) for error in changed.error])
        return publish.send(publisher, delta, self.flags.json)
