"""A hit that came over PostgreSQL's protocol, and how its final answer is sent."""

from cobaltpond.edge.client_input import ClientCommand
from cobaltpond.gateway.pending_hit import PendingHit
from cobaltpond.wire import pg
from cobaltpond.wire.statement import PlatformStatement


class PgHit(PendingHit):
    """A hit of the client connection `client`. `command`: the command that it came with."""

    def __init__(self, client, statement: PlatformStatement, command: ClientCommand):
        super().__init__(client.frontend.host.next_number(), statement.id.decode(), client.frontend)
        self.client, self.statement, self.command = client, statement, command

    def client_has_left(self) -> bool:
        """Returns whether the client has ended its side, also while bytes of it are unread."""
        return self.client.connection.handle.peer_finished

    def abandon(self) -> None:
        """Ends the hit, whose client has left."""
        self.client.abandon_open_hit()

    def note_sent(self) -> None:
        """Notes that the hit is about to be written to an instance."""
        if self.frontend.groups[self.statement.group]["kind"] != "repeatable":
            self.frontend.sent_ids.record(self.statement.id)

    def release(self) -> None:
        """Frees the bytes of the command, which no forward needs any more."""
        self.command.release()

    def answer(self, outcome: str, data: bytes) -> None:
        """Ends the hit with `outcome` and sends the response."""
        self.finalize(outcome)
        self.client.send_data(data)
        self.client.finish_query()

    def deliver(self, value: bytes) -> None:
        """Sends an instance's response: its messages before ReadyForQuery."""
        self.answer("delivered", value + pg.READY_FOR_QUERY)

    def reject(self, retry_after: int) -> None:
        """Rejects the hit. `retry_after` in microseconds; 0 gives no advice."""
        detail = str(-(-retry_after // 1000)) if retry_after else None
        self.answer("bounced", pg.error_response("53300", "not taken on now", detail) + pg.READY_FOR_QUERY)

    def fail(self, late: bool) -> None:
        """Answers with an error; `late`: the time was up."""
        self.answer(
            "errored",
            pg.error_response(
                "57014" if late else "58000",
                "no answer in time; it may have run" if late else "it failed; it may have run",
            )
            + pg.READY_FOR_QUERY,
        )
