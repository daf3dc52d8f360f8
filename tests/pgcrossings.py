"""Scripted instances and clients for the tests of race conditions in the PostgreSQL gateway."""

from pgworld import SETTINGS, good_answer, query_script

from cobaltpond.wire import pg

OK = ("delivered", b"fine")
MS = 1000


def policy_limits(**changes):
    """Settings with changed policy limits."""
    return {"policyLimits": {**SETTINGS["policyLimits"], **changes}}


def delayed_startup_script(may_respond, first=good_answer):
    """Instance script that delays the startup response of all connections but the first.

    The first connection gets its startup response at once and its first statement gets `first`; later ones
    get theirs once `may_respond(world)` holds.
    """

    def before_startup_response(world):
        world.connections = getattr(world, "connections", 0) + 1
        if world.connections > 1:
            yield from world.until(lambda: may_respond(world))

    def on_query(world, connection, text):
        world.received_at.append(world.loop.now())
        yield from connection.write((first if len(world.received) == 1 else good_answer)(text))

    return query_script(on_query, before_startup_response)


def server_error(text):
    return pg.error_response("XX000", "no") + pg.READY_FOR_QUERY


def answer_and_act_script(reply, then, before=False):
    """Instance script that sends `reply(text)` and calls `then(number)` in one step, in this order or the
    reverse.
    """

    def on_query(world, connection, text):
        if before:
            then(len(world.received))
        yield from connection.write(reply(text))
        if not before:
            then(len(world.received))

    return query_script(on_query)


def idle_client(world, *queries):
    """A client whose queries have been answered and whose connection is open."""
    client = yield from world.connect()
    yield from client.send(*queries, start=True)
    yield from client.read()
    for _ in queries:
        yield from client.read()
    return client
