"""Pairs of events that cross, on real sockets, each order forced: new configurations, the start and the
end."""

import json
import time
from pathlib import Path

from pgworld import PgWorld, answering, good, statement, told

from cobaltpond.edge import main
from cobaltpond.loop import Deadline, Sleep
from cobaltpond.wire import pg

OK = ("delivered", b"fine")
MS = 1000


# --- SIGHUP ---


def test_a_configuration_that_is_half_there_at_the_signal_is_read_again(tmp_path):
    world = PgWorld(answering(lambda text, _: good(text)), tmp=tmp_path)

    def go():
        text = json.dumps({**world.told, "discovery": f"127.0.0.1:{world.base + 3}"})
        Path(world.path).write_text(text[: len(text) // 2])
        world.edge.stop("HUP")
        yield Sleep(60 * MS)  # it has been read, and made no sense
        assert world.edge.discovery.address[1] == world.base + 1
        Path(world.path).write_text(text)
        yield from world.until(lambda: any(offset == 3 for offset, _, _ in world.asked), 1_000 * MS)
        return [event for level, event, _ in world.log.lines if level == "error"]

    assert world.run(go()) == []


def test_two_signals_in_one_turn_follow_each_address_once_and_one_after_term_does_no_harm(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(
        main, "LINGER_TIME_US", 2_000 * MS
    )  # new clients are served for so long, on a busy machine too
    world = PgWorld(answering(lambda text, _: good(text)), tmp=tmp_path)

    def go():
        yield from world.until(lambda: world.edge.discovery.has_heard)
        for _ in range(2):
            world.hup(discovery=f"127.0.0.1:{world.base + 3}")
        yield from world.until(lambda: any(offset == 3 for offset, _, _ in world.asked))
        yield Sleep(50 * MS)
        tasks = sorted(task.name for task in world.loop.tasks if task.name in ("discovery", "feed"))
        assert len(world.feeds) == 1  # the desk's address is as it was
        world.edge.stop("TERM")
        world.hup(discovery=f"127.0.0.1:{world.base + 1}")
        got = yield from world.ask(statement(1))
        yield from world.main.join()
        return tasks, got

    assert world.run(go()) == (["discovery", "feed"], [OK])


def test_a_signal_while_the_first_list_is_awaited_moves_on_at_once(tmp_path):
    world = PgWorld(answering(lambda text, _: good(text)), tmp=tmp_path, agent=5)  # nobody listens there
    world.loop.spawn(early(world), "early")
    assert world.run(world.ask(statement(1))) == [OK]
    assert next(more["list"] for _, event, more in world.log.lines if event == "door open")


def early(world):
    yield Sleep(50 * MS)
    assert not world.opened()
    world.hup(discovery=f"127.0.0.1:{world.base + 3}")


def test_a_process_is_ready_at_once_though_list_and_desk_say_nothing():
    """Nine in ten restarted processes are to be ready within 10 s."""
    world = PgWorld(answering(lambda text, _: good(text)), agent=5, known=True)

    def mute(connection):
        while (yield from connection.read()):
            pass

    world.listen_at(5, mute)
    world.answers[2] = lambda request: forever()

    def forever():
        yield Sleep(60_000 * MS)

    began = world.loop.now()
    assert world.run(world.ask(b"", statement(1))) == [("empty",), OK]
    assert world.loop.now() - began < 1_500 * MS


# --- SIGTERM ---


def test_term_before_the_door_is_open_and_once_more_ends_at_once():
    world = PgWorld(agent=5)
    world.opened = lambda: True

    def go():
        yield Sleep(50 * MS)
        world.edge.stop("TERM")
        world.edge.stop("TERM")
        with Deadline(world.loop, 100 * MS):
            yield from world.main.join()
        return world.edge.frontend.listener

    assert world.run(go()) is None


def test_commands_that_wait_behind_an_open_one_at_the_end_get_an_answer_each():
    world = PgWorld(answering(lambda text, _: None))

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, "pay", 700), statement(2), statement(3), start=True)
        yield from client.read()
        yield from world.until(lambda: world.got)
        yield from world.edge.frontend.drain(20 * MS, 60 * MS)
        open_hits, got = world.edge.host.open_hits, []
        for _ in range(3):
            got.append(told((yield from client.read()))[0])
        return open_hits, got, (yield from client.read())

    assert world.run(go()) == (0, ["57014", "53300", "53300"], [(b"end", b"")])


def test_who_reads_slowly_gets_its_answer_before_the_process_ends():
    """Its answer is in the gateway's memory when all is over; it is read a little later."""
    world, big = PgWorld(answering(lambda text, _: good(text))), 900_000

    def go():
        client = yield from world.connect()
        yield from client.send(start=True)
        yield from client.read()
        (owner,) = world.edge.frontend.clients
        owner.connection.handle.sock.setsockopt(1, 7, 4096)  # SOL_SOCKET, SO_SNDBUF
        owner.send_data(pg.message(b"N", b"x" * big))  # a notice, as large as any
        assert owner.writer is not None
        yield from client.send(statement(1))
        drain = world.loop.spawn(world.edge.frontend.drain(20 * MS, 1_200 * MS), "drain")
        yield Sleep(900 * MS)  # longer than a client has to close after our end of file
        assert owner.unsent and not drain.done
        got = yield from client.read()
        yield from drain.join()
        return told(got), len(got[0][1]) == big, (yield from client.read())

    assert world.run(go()) == (OK, True, [(b"end", b"")])


def test_the_end_keeps_its_time_though_the_loop_lagged_when_the_signal_came():
    """KILL comes 0.7 s after the longest client timeout, counted from TERM: here that is 1.5 s."""
    world, at = PgWorld(answering(lambda text, _: None)), []

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, "pay", 700), start=True)
        yield from client.read()
        yield from client.connection.write(
            pg.query_message(statement(2))[:20]
        )  # and half of another, that never ends
        yield from world.until(lambda: world.got)
        at.append(time.monotonic())
        kernel = world.loop.kernel
        kernel.signal_handler = world.edge.stop
        world.loop.call_in(
            0, lambda: (kernel.pending_signals.append("TERM"), time.sleep(0.4))
        )  # the loop lags over it
        got = [told((yield from client.read()))[0], (yield from client.read())[0][0]]
        yield from world.main.join()
        return got

    assert world.run(go()) == ["57014", b"E"]
    assert time.monotonic() - at[0] < 1.5 + 0.7
