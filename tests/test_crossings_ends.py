"""Race conditions at a new configuration, at the start and at the end, with each order of events forced."""

import json
import time
from pathlib import Path

from pgworld import PgWorld, answer_script, good_answer, outcome_of, statement

from cobaltpond.edge import main
from cobaltpond.loop import Deadline, Sleep
from cobaltpond.wire import pg

OK = ("delivered", b"fine")
MS = 1000


# --- SIGHUP ---


def test_partly_written_configuration_is_read_again(tmp_path):
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), tmp=tmp_path)

    def go():
        text = json.dumps({**world.configuration, "discovery": f"127.0.0.1:{world.base + 3}"})
        Path(world.path).write_text(text[: len(text) // 2])
        world.edge.stop("HUP")
        yield Sleep(60 * MS)  # it has been read and was invalid
        assert world.edge.discovery.address[1] == world.base + 1
        Path(world.path).write_text(text)
        yield from world.until(lambda: any(offset == 3 for offset, _, _ in world.requests), 1_000 * MS)
        return [event for level, event, _ in world.log.lines if level == "error"]

    assert world.run(go()) == []


def test_repeated_sighup_follows_each_address_once_and_is_harmless_after_sigterm(tmp_path, monkeypatch):
    monkeypatch.setattr(
        main, "LINGER_TIME_US", 2_000 * MS
    )  # new clients are served for this long, on a busy machine too
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), tmp=tmp_path)

    def go():
        yield from world.until(lambda: world.edge.discovery.has_received)
        for _ in range(2):
            world.reload_configuration(discovery=f"127.0.0.1:{world.base + 3}")
        yield from world.until(lambda: any(offset == 3 for offset, _, _ in world.requests))
        yield Sleep(50 * MS)
        tasks = sorted(task.name for task in world.loop.tasks if task.name in ("discovery", "feed"))
        assert len(world.feeds) == 1  # the desk's address has not changed
        world.edge.stop("TERM")
        world.reload_configuration(discovery=f"127.0.0.1:{world.base + 1}")
        got = yield from world.query(statement(1))
        yield from world.main.join()
        return tasks, got

    assert world.run(go()) == (["discovery", "feed"], [OK])


def test_sighup_while_waiting_for_the_first_list_takes_effect_at_once(tmp_path):
    world = PgWorld(
        answer_script(lambda text, _: good_answer(text)), tmp=tmp_path, discovery_offset=5
    )  # nobody listens there
    world.loop.spawn(reload_early(world), "early")
    assert world.run(world.query(statement(1))) == [OK]
    assert next(more["list"] for _, event, more in world.log.lines if event == "door open")


def reload_early(world):
    """Sends SIGHUP with a working discovery before the listener is open."""
    yield Sleep(50 * MS)
    assert not world.opened()
    world.reload_configuration(discovery=f"127.0.0.1:{world.base + 3}")


def test_process_is_ready_at_once_without_list_and_desk():
    """Nine in ten restarted processes must be ready within 10 s, also when list and desk are silent."""
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), discovery_offset=5, known_list=True)

    def stay_silent(connection):
        while (yield from connection.read()):
            pass

    world.listen_at(5, stay_silent)
    world.response_overrides[2] = lambda request: forever()

    def forever():
        yield Sleep(60_000 * MS)

    began = world.loop.now()
    assert world.run(world.query(b"", statement(1))) == [("empty",), OK]
    assert world.loop.now() - began < 1_500 * MS


# --- SIGTERM ---


def test_repeated_sigterm_before_the_listener_opens_ends_at_once():
    world = PgWorld(discovery_offset=5)
    world.opened = lambda: True

    def go():
        yield Sleep(50 * MS)
        world.edge.stop("TERM")
        world.edge.stop("TERM")
        with Deadline(world.loop, 100 * MS):
            yield from world.main.join()
        return world.edge.frontend.listener

    assert world.run(go()) is None


def test_queued_commands_each_get_a_response_at_the_end():
    world = PgWorld(answer_script(lambda text, _: None))

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, "pay", 700), statement(2), statement(3), start=True)
        yield from client.read()
        yield from world.until(lambda: world.received)
        yield from world.edge.frontend.drain(20 * MS, 60 * MS)
        open_hits, got = world.edge.host.open_hits, []
        for _ in range(3):
            got.append(outcome_of((yield from client.read()))[0])
        return open_hits, got, (yield from client.read())

    assert world.run(go()) == (0, ["57014", "53300", "53300"], [(b"end", b"")])


def test_slow_reader_gets_its_response_before_the_process_ends():
    """The response is still in the gateway's memory when everything is answered; the client reads it a little
    later.
    """
    world, notice_bytes = PgWorld(answer_script(lambda text, _: good_answer(text))), 900_000

    def go():
        client = yield from world.connect()
        yield from client.send(start=True)
        yield from client.read()
        (owner,) = world.edge.frontend.clients
        owner.connection.handle.sock.setsockopt(1, 7, 4096)  # SOL_SOCKET, SO_SNDBUF
        owner.send_data(pg.message(b"N", b"x" * notice_bytes))  # a notice that exceeds the socket buffers
        assert owner.output.writer is not None
        yield from client.send(statement(1))
        drain = world.loop.spawn(world.edge.frontend.drain(20 * MS, 1_200 * MS), "drain")
        yield Sleep(900 * MS)  # longer than a client may take to close after our end of file
        assert owner.output.unsent and not drain.done
        got = yield from client.read()
        yield from drain.join()
        return outcome_of(got), len(got[0][1]) == notice_bytes, (yield from client.read())

    assert world.run(go()) == (OK, True, [(b"end", b"")])


def test_drain_ends_in_time_although_the_loop_lags_at_the_signal():
    """SIGKILL follows 0.7 s after the longest client timeout (1.5 s here), counted from SIGTERM.

    A loop that lags must not count its drain from the moment when it reads the signal.
    """
    world, signal_times = PgWorld(answer_script(lambda text, _: None)), []

    def go():
        client = yield from world.connect()
        yield from client.send(statement(1, "pay", 700), start=True)
        yield from client.read()
        yield from client.connection.write(
            pg.query_message(statement(2))[:20]
        )  # and half of another one, which never ends
        yield from world.until(lambda: world.received)
        signal_times.append(time.monotonic())
        kernel = world.loop.kernel
        kernel.signal_handler = world.edge.stop
        world.loop.call_in(
            0, lambda: (kernel.pending_signals.append("TERM"), time.sleep(0.4))
        )  # the loop lags while the signal is pending
        got = [outcome_of((yield from client.read()))[0], (yield from client.read())[0][0]]
        yield from world.main.join()
        return got

    assert world.run(go()) == ["57014", b"E"]
    assert time.monotonic() - signal_times[0] < 1.5 + 0.7
