"""HTTP clients at full speed, clients that do not read, and clients that leave with requests unread."""

from world import World, answer_ok, request_reader

from cobaltpond.gateway.customer_shares import CustomerShares
from cobaltpond.loop import ConnectionLostError, Sleep
from cobaltpond.wire import http1

MS = 1000
LIVE = http1.request("GET", "/-/live", [(b"host", b"t")])
STATUS = http1.request("GET", "/-/status", [(b"host", b"t")])
MAX_PENDING_WRITERS = 1


def pay(number):
    """A request of a group that runs at most once."""
    return http1.request("POST", "/pay", [(b"host", b"t"), (b"x-number", b"%d" % number)], b"x")


# Guards against one client that sends small requests at full speed and holds up all others.
def test_client_at_full_speed_does_not_hold_up_others():
    world, times = World(answer_ok), []

    def flood():
        connection = yield from world.connect()
        while True:
            yield from connection.write(LIVE * 2000)
            try:
                while connection.read_now() is not None:
                    pass
            except ConnectionLostError:
                return

    def go():
        task = world.loop.spawn(flood(), "flood")
        for _ in range(20):
            asked_at = world.loop.kernel.now()
            yield from world.ask()
            times.append(world.loop.kernel.now() - asked_at)
            yield Sleep(10 * MS)
        task.cancel()

    world.run(go())
    assert max(times) < 500 * MS, times


# Guards against answers that pile up without end for a client that sends and never reads.
def test_unread_answers_of_a_client_are_bounded():
    world, most = World(answer_ok), [0]

    def writers():
        return sum(task.name == "door-rest" for task in world.loop.tasks)

    def go():
        connection = yield from world.connect()
        for _ in range(200):
            connection.write_now(STATUS * 200)
            most[0] = max(most[0], writers())
            yield Sleep(2 * MS)

    world.run(go())
    assert most[0] <= MAX_PENDING_WRITERS


# Guards against requests that are sent on although the close of their client lies behind them, unread.
def test_requests_behind_an_open_one_are_not_sent_on_after_the_close():
    received = []

    def slow(world, connection):
        read = request_reader(connection)
        while True:
            head, _ = yield from read()
            received.append(head.get(b"x-number"))
            yield Sleep(200 * MS)
            yield from connection.write(http1.response(200, [], b"paid"))

    world = World(slow)

    def go():
        connection = yield from world.connect()
        yield from connection.write(b"".join(pay(n) for n in range(1, 9)))
        yield from world.until(lambda: received)
        connection.close()
        yield Sleep(700 * MS)

    world.run(go())
    assert received == [b"1"]


# Guards against a limit that stops pipelining clients which do read.
def test_many_pipelined_requests_are_all_answered():
    world = World(answer_ok)

    def go():
        connection, got = (yield from world.connect()), []
        yield from connection.write(LIVE * 300)
        parser = http1.ResponseParser(http1.MessageLimits())
        while len(got) < 300:
            for kind, value in parser.feed((yield from connection.read())):
                if kind == "head":
                    got.append(value.status)
        return set(got)

    assert world.run(go()) == {200}


# Guards against memory that grows with ever new names of customers.
def test_customers_without_hits_in_the_window_are_forgotten():
    shares = CustomerShares({"ann": 0.5}, window=100)
    for number in range(1000):
        shares.record_hit(number * 10, f"customer-{number}")
    assert len(shares.counts) <= 11
    assert not shares.is_over_share("customer-1")
