"""Command `order`: sets the desired state of an endpoint."""

import re

import msgspec

from baobabmux_core import ids, orders
from baobabmux_ctl import command, exits, log_service, output, publication

_KINDS = {
    kind.value.replace("_", "-"): kind
    for kind in (
        orders.OrderKind.LOAD_MODEL,
        orders.OrderKind.LOAD_ADAPTER,
        orders.OrderKind.SET_ROLE,
    )
}
_NAME = re.compile(r"[\w.-]{1,128}")


class OrderReport(msgspec.Struct, frozen=True):
    """Appended record of desired state.

    Attributes:
        offset: Offset of the record in the stream `orders`.
        desired: Desired state in the record.
    """

    offset: int
    desired: orders.Desired


class Order(command.Command):
    """Appends one part of an endpoint's desired state to the log."""

    name = "order"
    usage = "ENDPOINT load-model|load-adapter|set-role NAME [VERSION] --log …"
    summary = "Sets the model, an adapter or the role of an endpoint."
    details = (
        "The node that holds the lease of the endpoint's data centre sends\n"
        "the order, reads the state back and repeats until they agree. The\n"
        "newest order for the same model, adapter or role applies, so it is\n"
        "safe to repeat the command after a lost answer."
    )
    interrupted = "the order may have been appended"

    def __init__(self):
        super().__init__()
        self._define_log()

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Appends the desired state to the log."""
        desired = self._desired(arguments)
        log = log_service.LogService(self._log_address())
        try:
            offset = log.append(orders.STREAM, msgspec.to_builtins(desired))
        except log_service.NoEffectError as error:
            raise exits.CommandError(
                exits.ExitCode.UNREACHABLE,
                f"log service: {error} (nothing was ordered; try again later)",
            ) from error
        except log_service.UncertainError as error:
            raise exits.CommandError(
                exits.ExitCode.UNKNOWN,
                f"log service: {error} (the order may have been appended; "
                "repeating the command is safe)",
            ) from error
        if self.flags.json:
            output.result_json(OrderReport(offset, desired))
        else:
            output.result(
                f"ordered: {desired.endpoint} {desired.subject()} is to be "
                f"{desired.value()} (record {offset})"
            )
        return exits.ExitCode.DONE

    def _desired(self, arguments: list[str]) -> orders.Desired:
        if len(arguments) not in (3, 4):
            raise self.usage_error("expected an endpoint, a kind and a name")
        endpoint, word, name, *version = arguments
        kind = _KINDS.get(word)
        if kind is None:
            raise self.usage_error(
                f'"{word}" is not a kind (kinds: {", ".join(_KINDS)})'
            )
        if bool(version) == (kind is orders.OrderKind.SET_ROLE):
            expected = "no version" if version else "a version"
            raise self.usage_error(f"{word} takes {expected}")
        for text in (endpoint, name, *version):
            if not _NAME.fullmatch(text):
                raise self.usage_error(
                    f"{text!r} may only contain letters, digits, "
                    "'.', '_' and '-'"
                )
        return orders.Desired(
            ids.EndpointId(endpoint),
            kind,
            name,
            version[0] if version else "",
            publication.user(),
        )
