"""Tests of streams whose peer is slower than the follower's silence timeout, or silent for a while."""

import pytest
from conform import LOCAL_ANY_PORT, run_on_virtual
from pgworld import PgWorld, answer_script, good_answer

from cobaltpond.edge.platform import FEED_SILENCE_TIMEOUT_US
from cobaltpond.loop import Sleep
from cobaltpond.rpc import Backoff, ResponseStream, follow_stream, serve_rpc
from cobaltpond.rpc.streams import MAX_SILENT_STREAMS

MS, SECOND = 1000, 1_000_000


class StreamPlay:
    """A follower of a stream, and a server that opens each stream `delay` microseconds after its request."""

    def __init__(self, loop, delay, silence_timeout=SECOND):
        self.loop, self.delay, self.is_silent = loop, delay, False
        self.objects, self.errors, self.opened_at, self.streams = [], [], [], []
        listener = loop.kernel.listen(LOCAL_ANY_PORT, 64)
        loop.spawn(serve_rpc(loop, listener, self.open, "stream-server"), "stream-server")
        follower = follow_stream(
            loop,
            listener.address(),
            lambda: "/",
            self.objects.extend,
            silence_timeout,
            SECOND,
            Backoff(50 * MS, 50 * MS, 1),
            self.errors.append,
        )
        loop.spawn(follower, "follower")

    def open(self, request):
        number = len(self.opened_at)
        self.opened_at.append(self.loop.now())
        if self.is_silent:
            yield Sleep(600 * SECOND)
        yield Sleep(self.delay)
        stream = ResponseStream()
        stream.send_object({"stream": number})
        self.streams.append(stream)
        return stream

    def beat(self, number, count):
        """Sends objects on one stream, two each second."""
        for _ in range(count):
            yield Sleep(500 * MS)
            self.streams[number].send_object({"stream": number})


def run_stream_play(play, tmp_path, **options):
    def case(loop, _):
        streams = StreamPlay(loop, **options)
        yield from play(loop, streams)
        yield Sleep(100 * MS)
        loop.cancel_all()
        return streams

    return run_on_virtual(case, str(tmp_path))


@pytest.mark.parametrize("delay", [1500 * MS, 2500 * MS])
def test_stream_that_begins_later_than_the_silence_timeout_is_followed(delay, tmp_path):
    """Guards against a feed that is opened anew for ever, each time before its first object comes."""

    def play(loop, streams):
        yield Sleep(delay + 200 * MS)
        yield from streams.beat(0, 8)

    streams = run_stream_play(play, tmp_path, delay=delay)
    assert streams.objects == [{"stream": 0}] * 9
    assert len(streams.opened_at) == 1 + delay // SECOND


def test_new_stream_replaces_a_broken_one(tmp_path):
    """Guards against following a silent stream although a newer one speaks, or both of them."""

    def play(loop, streams):
        yield Sleep(1500 * MS)  # the first stream has fallen silent, and the second one has begun
        streams.streams[0].send_object({"stream": 0})
        yield from streams.beat(1, 4)

    streams = run_stream_play(play, tmp_path, delay=1 * MS)
    assert streams.objects[0] == {"stream": 0} and {"stream": 0} not in streams.objects[1:]
    assert len(streams.objects) >= 5


def test_streams_to_a_silent_peer_are_bounded_and_its_return_is_heard(tmp_path):
    """Guards against one more open stream with each attempt, and against waiting for those of a silence."""

    def play(loop, streams):
        streams.is_silent = True
        yield Sleep(20 * SECOND)
        streams.is_silent = False
        streams.late_reads = sum(task.name == "late-read" for task in loop.tasks)
        yield Sleep(SECOND + 100 * MS)

    streams = run_stream_play(play, tmp_path, delay=1 * MS)
    assert streams.late_reads <= MAX_SILENT_STREAMS and streams.objects


def test_feed_of_a_slow_platform_is_heard(monkeypatch):
    """Guards against a gateway without news for as long as the platform is slow: its cap stays too high."""
    monkeypatch.setattr(PgWorld, "virtual", True)
    world = PgWorld(answer_script(lambda text, _: good_answer(text)), known_list=True)
    serve_desk = world.on_desk

    def answer_late(request):
        response = serve_desk(request)
        yield Sleep(FEED_SILENCE_TIMEOUT_US + SECOND)
        return response

    world.response_overrides[2] = answer_late

    def go():
        began = world.loop.now()
        yield from world.until(lambda: world.edge.platform.has_received, 20 * SECOND)
        return world.loop.now() - began

    assert world.run(go(), bound=30 * SECOND) < FEED_SILENCE_TIMEOUT_US + 2 * SECOND
