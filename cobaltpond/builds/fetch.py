"""Fetches what a store lacks of a build, from several sources over HTTP with ranges (RFC 9110, 14).

A chunk that was cut goes on at the byte where it stopped. What a source may cost is bounded: a time for each
chunk (a server that sends slowly for ever), a length, a few redirects within the known sources, bytes a
second.
"""

from urllib.parse import urlsplit

from cobaltpond.builds.manifest import Manifest
from cobaltpond.builds.plan import FetchPlan
from cobaltpond.builds.store import DigestMismatchError, Store
from cobaltpond.loop import (
    ConnectionLostError,
    Deadline,
    DeadlineExceededError,
    HandlesExhaustedError,
    Queue,
    RefusedError,
    Sleep,
    UnreachableError,
    dial,
)
from cobaltpond.wire import http1

REDIRECTS = 3


class FetchError(Exception):
    """The build could not be had; the text says why."""

    outer_name = "FetchFailed"


class ChunkRequestError(Exception):
    """How asking for one chunk failed, in the words of `plan.py`."""

    def __init__(self, how: str):
        super().__init__(how)
        self.how = how


class BandwidthLimiter:
    """Bytes a second over all that a host fetches; 0: no bound."""

    def __init__(self, loop, bytes_a_second: int):
        self.loop, self.rate, self.free_at = loop, bytes_a_second, 0

    def throttle(self, size: int):
        if self.rate:
            now = self.loop.now()
            self.free_at = max(self.free_at, now) + size * 1_000_000 // self.rate
            if self.free_at > now:
                yield Sleep(self.free_at - now)


class Fetcher:
    """`sources`: addresses (host, port). `least_rate`: bytes a second below which a source counts as slow."""

    def __init__(
        self,
        loop,
        store: Store,
        sources: list,
        chance,
        rate: int = 0,
        dial_time: int = 500_000,
        least_rate: int = 64 << 10,
        grace: int = 2_000_000,
    ):
        self.loop, self.store, self.sources, self.chance = loop, store, sources, chance
        self.rate, self.dial_time, self.least_rate, self.grace = (
            BandwidthLimiter(loop, rate),
            dial_time,
            least_rate,
            grace,
        )
        self.parts, self.bytes, self.lost = {}, 0, {}

    def fetch_manifest(self, build: int, most: int):
        """The bytes of a build's manifest, unchecked, from the first source that has it. Raises
        FetchFailed."""
        wrong = "no source"
        for source in self.sources:
            try:
                with Deadline(self.loop, self.dial_time + self.grace):
                    return (yield from self.fetch_body(source, f"/builds/{build}", bytearray(), None, most))
            except (ChunkRequestError, DeadlineExceededError) as trouble:
                wrong = f"{source[0]}:{source[1]}: {trouble}"
        raise FetchError(f"manifest of build {build}: {wrong}")

    def fetch_chunks(self, manifest: Manifest):
        """All chunks that the store lacks. Raises FetchError, or StoreFullError of the store; what has come
        stays."""
        missing = self.store.missing_chunks(manifest)
        self.store.check_room(sum(missing.values()))
        plan, ended, tasks = FetchPlan(missing, self.sources, self.chance), Queue(1024), {}
        try:
            while True:
                step = plan.next_step(self.loop.now())
                if step is None:
                    name, how, trouble = yield from ended.get()
                    del tasks[name]
                    if trouble is not None:
                        raise trouble
                    if how is None:
                        plan.chunk_received(name)
                    else:
                        self.lost[how] = self.lost.get(how, 0) + 1
                        plan.chunk_failed(self.loop.now(), name, how, len(self.parts.get(name, b"")))
                elif step[0] == "get":
                    chunk = step[1]
                    tasks[chunk.name] = self.loop.spawn(
                        self.fetch_chunk(chunk, step[2], ended), f"chunk-{chunk.name[:8]}"
                    )
                elif step[0] == "wait":
                    yield Sleep(step[1] - self.loop.now())
                elif step[0] == "done":
                    return
                else:
                    raise FetchError(step[1])
        finally:
            for task in tasks.values():
                task.cancel()

    def fetch_chunk(self, chunk, source, ended):
        """A task for one chunk of one source; puts (name, how it was lost or None, another exception)."""
        part, how, trouble = self.parts.setdefault(chunk.name, bytearray()), None, None
        try:
            with Deadline(self.loop, self.grace + chunk.size * 1_000_000 // self.least_rate):
                yield from self.fetch_body(source, f"/chunks/{chunk.name}", part, chunk.size, chunk.size)
            data = bytes(self.parts.pop(chunk.name))
            self.store.put_chunk(chunk.name, data)
        except DeadlineExceededError:
            how = "slow"
        except ChunkRequestError as no:
            how = no.how
        except DigestMismatchError:
            how = "digest"
        except Exception as other:  # the store's: ends the fetch
            trouble = other
        if how in ("digest", "length", "redirect"):
            self.parts.pop(chunk.name, None)
        yield from ended.put((chunk.name, how, trouble))

    def fetch_body(self, source, path, part: bytearray, size: int | None, most: int):
        """Goes on after what `part` holds. Raises ChunkRequestError."""
        for _ in range(REDIRECTS + 1):
            where = yield from self.request_once(source, path, part, size, most)
            if where is None:
                return bytes(part)
            url = urlsplit(where)
            if url.netloc:
                known = [s for s in self.sources if f"{s[0]}:{s[1]}" == url.netloc]
                if not known:
                    raise ChunkRequestError("redirect")  # to nobody that we know
                source = known[0]
            path = url.path
        raise ChunkRequestError("redirect")

    def request_once(self, source, path, part, size, most):
        """One request; None when the body is whole, else where it is said to be."""
        try:
            connection = yield from dial(self.loop, source, self.dial_time)
        except (RefusedError, UnreachableError, HandlesExhaustedError, DeadlineExceededError):
            raise ChunkRequestError("refused") from None
        try:
            start = len(part)
            fields = [(b"host", f"{source[0]}:{source[1]}".encode()), (b"connection", b"close")]
            if start:
                fields.append((b"range", b"bytes=%d-" % start))
            yield from connection.write(http1.request("GET", path, fields))
            parser = http1.ResponseParser(http1.MessageLimits(body=most + 1))
            while True:
                data = yield from connection.read()
                for kind, value in parser.feed(data) if data else parser.closed():
                    if kind == "head":
                        if value.status in (301, 302, 307, 308):
                            return (value.get(b"location") or b"").decode("latin-1")
                        self.check_response(value, part, size)
                    elif kind == "body":
                        part += value
                        self.bytes += len(value)
                        if len(part) > (most if size is None else size):
                            raise ChunkRequestError("length")
                        yield from self.rate.throttle(len(value))
                    elif size is not None and len(part) != size:
                        raise ChunkRequestError("length")
                    else:
                        return None
        except http1.TruncatedMessageError:
            raise ChunkRequestError("cut") from None
        except ConnectionLostError:
            raise ChunkRequestError("cut") from None
        except http1.HttpMessageError as trouble:
            raise ChunkRequestError("length" if trouble.status == 413 else "status") from None
        finally:
            connection.close()

    @staticmethod
    def check_response(head, part, size):
        """Raises ChunkRequestError where the answer is not what was asked for; a source without ranges begins
        anew."""
        if head.status == 206 and part:
            said = head.get(b"content-range") or b""
            if not said.startswith(b"bytes %d-" % len(part)):
                raise ChunkRequestError("length")
        elif head.status == 200:
            part.clear()
        else:
            raise ChunkRequestError("status")
        length = head.get(b"content-length")
        if size is not None and length is not None and int(length) != size - len(part):
            raise ChunkRequestError("length")
