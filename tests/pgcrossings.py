"""Scripted answers of PostgreSQL stand-ins, shared by the tests of the edge."""

from pgworld import SETTINGS, exchanging, good

from cobaltpond.wire import pg

OK = ("delivered", b"fine")
MS = 1000


def policy(**changes):
    return {"policyLimits": {**SETTINGS["policyLimits"], **changes}}


def held_welcome(release, first=good):
    """The first connection is welcomed at once and its first statement gets `first`; later ones are welcomed
    when `release(world)` holds."""

    def before_welcome(world):
        world.connections = getattr(world, "connections", 0) + 1
        if world.connections > 1:
            yield from world.until(lambda: release(world))

    def on_query(world, connection, text):
        world.got_at.append(world.loop.now())
        yield from connection.write((first if len(world.got) == 1 else good)(text))

    return exchanging(on_query, before_welcome)


def error(text):
    return pg.error_response("XX000", "no") + pg.READY_FOR_QUERY


def answering_then(reply, then, before=False):
    """`reply(text)` goes out and `then(number)` is done in one step, in this order or the other."""

    def on_query(world, connection, text):
        if before:
            then(len(world.got))
        yield from connection.write(reply(text))
        if not before:
            then(len(world.got))

    return exchanging(on_query)


def settled(world, *queries):
    """A client that has been answered and has kept its connection."""
    client = yield from world.connect()
    yield from client.send(*queries, start=True)
    yield from client.read()
    for _ in queries:
        yield from client.read()
    return client
