"""A duplicate HTTP response that arrives late on a kept connection must not answer a later request.

Instances name the request that a response answers in the field `Cobaltpond-Answers`.
"""

import pytest
from world import World, answer_ok, request_reader

from cobaltpond.gateway.forwards import MAX_SURPLUS_RESPONSES
from cobaltpond.loop import Sleep
from cobaltpond.wire import http1

CUT_TIME_US = 50_000
LARGE_BODY = b"x" * (600 << 10)  # more than is buffered before a response is streamed to the client


def name_of(head) -> bytes:
    """The name by which a response says which request it answers."""
    return head.get(b"cobaltpond-hit") + b"/" + head.get(b"cobaltpond-forward")


def ok_response(head, body=b"") -> bytes:
    """A response that names its request, in the field and in its body."""
    name = name_of(head)
    return http1.response(200, [(b"cobaltpond-answers", name)], name + body)


def refusal_response(head) -> bytes:
    """A refusal, which promises that the request has not run."""
    return http1.response(429, [(b"cobaltpond-answers", name_of(head))], b"")


class DuplicatingInstance:
    """An instance whose first response comes again, `copies` times, while the next request is on its way."""

    def __init__(self, first_response, copies=1):
        self.first_response, self.copies = first_response, copies
        self.requests, self.duplicates = [], {}

    def script(self, world, connection):
        """Script of the instance; a connection that was not the first one is used once."""
        get = request_reader(connection)
        while (head := (yield from get())[0]) is not None:
            duplicate = self.duplicates.pop(connection, None)
            if duplicate is not None:  # it was written before the request, and both were held up by a cut
                yield Sleep(CUT_TIME_US)
                yield from connection.write(duplicate)
            self.requests.append(head)
            if len(self.requests) == 1:
                response = self.first_response(head)
                self.duplicates[connection] = response * self.copies
                yield from connection.write(response)
                continue
            yield from connection.write(ok_response(head))
            if duplicate is None:
                return


@pytest.mark.parametrize("body", [b"", LARGE_BODY])
def test_duplicate_held_up_by_a_cut_is_not_served_to_the_next_client(body):
    """Guards against serving a client the response to another request."""
    instance = DuplicatingInstance(lambda head: ok_response(head, body))
    world = World(instance.script)

    def go():
        answers = []
        for _ in range(3):
            status, head, got = yield from world.ask()
            answers.append((status, got.removesuffix(body) == head.get(b"cobaltpond-hit") + b"/0"))
            assert head.get(b"cobaltpond-answers") is None  # the field is for the gateway alone
            yield Sleep(10_000)
        return answers

    assert world.run(go()) == [(200, True)] * 3
    assert world.connection_counts == [2] and world.process.forwards.surplus_responses == 1


def test_duplicate_refusal_is_not_taken_for_the_response_to_a_retry():
    """Guards against telling a client that a retry is harmless, although its request has run."""
    instance = DuplicatingInstance(refusal_response)
    world = World(instance.script)

    status, head, _ = world.run(world.ask("POST", "/pay"))
    hit = head.get(b"cobaltpond-hit")
    assert status == 200 and [name_of(request) for request in instance.requests] == [hit + b"/0", hit + b"/1"]


def test_duplicate_load_report_is_not_taken_for_the_response_to_a_probe():
    """Guards against a probe that reports the load of an earlier time."""
    reports, results = iter([b"0.1", b"0.9"]), []

    def script(world, connection):
        get, duplicate = request_reader(connection), b""
        while (head := (yield from get())[0]) is not None:
            fields = [
                (b"cobaltpond-answers", name_of(head)),
                (b"endpoint-load-metrics", b"TEXT named_metrics.inflight=" + next(reports)),
            ]
            response = http1.response(200, fields, b"")
            yield from connection.write(duplicate + response)
            duplicate = response

    world = World(script)

    def go():
        yield from world.until(lambda: "i0" in world.process.endpoints.by_id)
        endpoint = world.process.endpoints.by_id["i0"]
        for _ in range(2):
            yield from world.process.forwards.run_probe(endpoint, lambda *result: results.append(result))

    world.run(go())
    assert [report for _, _, report in results] == [{"inflight": 0.1}, {"inflight": 0.9}]


def test_endless_duplicates_end_the_connection():
    """Guards against an instance that keeps a gateway reading for ever."""
    instance = DuplicatingInstance(ok_response, copies=MAX_SURPLUS_RESPONSES + 1)
    world = World(instance.script)

    def go():
        statuses = []
        for _ in range(2):
            statuses.append((yield from world.ask("POST", "/pay"))[0])
            yield Sleep(10_000)
        return statuses

    assert world.run(go()) == [200, 502] and world.process.forwards.result_counts["no sense"] == 1


def test_responses_of_instances_that_name_no_request_are_delivered():
    """The field is optional: an ordinary HTTP server does not know it."""
    world = World(answer_ok)
    assert world.run(world.ask_repeatedly(3, "GET", "/look")) == [200] * 3
