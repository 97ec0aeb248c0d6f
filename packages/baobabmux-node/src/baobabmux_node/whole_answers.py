"""Reads answers whole, within the node's account of memory."""

from baobabmux_node import client, memory_account

MAX_ANSWER_BYTES = 16_000_000


class AnswerReader:
    """Reads the answers of a node's endpoints that are passed on as a whole.

    Attributes:
        account: Account of the memory that answers take.
    """

    def __init__(self, account: memory_account.MemoryAccount):
        self.account = account

    def holding(self) -> memory_account.Holding:
        """Returns the holding of one answer, which its reader releases."""
        return memory_account.Holding(self.account, memory_account.Use.ANSWER)

    async def read(
        self,
        connection: client.ClientConnection,
        holding: memory_account.Holding,
    ) -> bytes:
        """Reads the complete body of an answer.

        Args:
            connection: Connection whose answer has begun.
            holding: Holding of the answer, without anything in it.

        Raises:
            ProtocolError: The body is longer than `MAX_ANSWER_BYTES`.
            InterruptedAnswerError: The node has no memory for the answer.
            ClientError: The answer ended early.
        """
        body = bytearray()
        while (part := await connection.next_part()) is not None:
            body += part
            if len(body) > MAX_ANSWER_BYTES:
                raise client.ProtocolError(
                    f"{connection.address}: body over the byte limit"
                    f" {MAX_ANSWER_BYTES}"
                )
            try:
                await holding.extend(len(body))
            except memory_account.NoRoomError as error:
                connection.interrupt()
                raise client.InterruptedAnswerError(
                    f"{connection.address}: the bodies that the node holds"
                    f" exceed {self.account.max_bytes} bytes"
                ) from error
        return bytes(body)

    async def discard(self, connection: client.ClientConnection) -> None:
        """Reads the body of an answer that nobody needs.

        Raises:
            ClientError: See `read`.
        """
        size = 0
        while (part := await connection.next_part()) is not None:
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise client.ProtocolError(
                    f"{connection.address}: body over the byte limit"
                    f" {MAX_ANSWER_BYTES}"
                )
