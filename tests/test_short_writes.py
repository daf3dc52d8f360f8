"""Short writes: the operating system accepts a part although more room is there (send(2))."""

import pytest
from pgworld import PgWorld, answer_script, command_tag, good_answer, outcome_of, row, statement

from cobaltpond.loop.sockets import Stream
from cobaltpond.wire import pg

SECOND = 1_000_000


@pytest.fixture
def short_writes(monkeypatch):
    """Lets every write of more than one byte accept half of the data."""
    send = Stream.send
    monkeypatch.setattr(Stream, "send", lambda self, data: send(self, data[: max(1, len(data) // 2)]))


# Guards against a request that waits for its whole time: after a short write the gateway waited for an event
# that never comes, since the socket had stayed writable.
@pytest.mark.parametrize("value_bytes", [4, 60_000])
def test_short_writes_delay_no_request(short_writes, value_bytes):
    world = PgWorld(
        answer_script(
            lambda text, _: row(b"x" * value_bytes, command_tag(text)) + pg.READY_FOR_QUERY
            if value_bytes > 4
            else good_answer(text)
        )
    )

    def go():
        client, times = (yield from world.connect()), []
        yield from client.send(start=True)
        yield from client.read()
        for number in range(1, 6):
            sent_at = world.loop.kernel.now()
            yield from client.send(statement(number))
            assert outcome_of((yield from client.read()))[0] == "delivered"
            times.append(world.loop.kernel.now() - sent_at)
        return max(times)

    assert world.run(go()) < SECOND // 2
