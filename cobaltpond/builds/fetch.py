"""Fetches the missing chunks of a build from several sources over HTTP with range requests (RFC 9110, 14).

An interrupted chunk resumes at the byte where it stopped. The cost of a source is bounded: a time limit for
each chunk (against a server that sends slowly for ever), a length limit, a few redirects within the known
sources only, and a bandwidth limit.
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

MAX_REDIRECTS = 3


class FetchError(Exception):
    """The build could not be fetched; the text says why."""

    outer_name = "FetchFailed"


class ChunkRequestError(Exception):
    """A request for one chunk failed; `reason` is one of RETRYABLE_FAILURES or SOURCE_FAULTS in `plan.py`."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class BandwidthLimiter:
    """Limits the bandwidth of all fetches of a host. `bytes_a_second` 0: no limit."""

    def __init__(self, loop, bytes_a_second: int):
        self.loop, self.rate, self.idle_at = loop, bytes_a_second, 0

    def throttle(self, size: int):
        """Waits until `size` more bytes are within the limit."""
        if self.rate:
            now = self.loop.now()
            self.idle_at = max(self.idle_at, now) + size * 1_000_000 // self.rate
            if self.idle_at > now:
                yield Sleep(self.idle_at - now)


class Fetcher:
    """Fetches manifests and chunks into a store.

    `sources`: addresses (host, port); `random_below(n)`: a random integer below n; `rate`: bandwidth limit in
    bytes a second, 0 for none; `min_rate`: bytes a second below which a source counts as slow; `dial_time`,
    `grace_time`: microseconds, the latter is added to the time limit of each chunk.
    """

    def __init__(
        self,
        loop,
        store: Store,
        sources: list,
        random_below,
        rate: int = 0,
        dial_time: int = 500_000,
        min_rate: int = 64 << 10,
        grace_time: int = 2_000_000,
    ):
        self.loop, self.store, self.sources, self.random_below = loop, store, sources, random_below
        self.rate = BandwidthLimiter(loop, rate)
        self.dial_time = dial_time
        self.min_rate = min_rate
        self.grace_time = grace_time
        self.partial_chunks, self.received_bytes, self.failures = {}, 0, {}

    def fetch_manifest(self, build: int, max_bytes: int):
        """The unverified bytes of a build's manifest, from the first source with it. Raises FetchError."""
        failure = "no source"
        for source in self.sources:
            try:
                with Deadline(self.loop, self.dial_time + self.grace_time):
                    return (
                        yield from self.fetch_body(source, f"/builds/{build}", bytearray(), None, max_bytes)
                    )
            except (ChunkRequestError, DeadlineExceededError) as error:
                failure = f"{source[0]}:{source[1]}: {error}"
        raise FetchError(f"manifest of build {build}: {failure}")

    def fetch_chunks(self, manifest: Manifest):
        """Fetches all chunks that the store lacks. Chunks that have arrived stay after a failure.

        Raises FetchError, or StoreFullError of the store.
        """
        missing = self.store.missing_chunks(manifest)
        self.store.check_room(sum(missing.values()))
        plan, finished_chunks, tasks = FetchPlan(missing, self.sources, self.random_below), Queue(1024), {}
        try:
            while True:
                step = plan.next_step(self.loop.now())
                if step is None:
                    name, reason, error = yield from finished_chunks.get()
                    del tasks[name]
                    if error is not None:
                        raise error
                    if reason is None:
                        plan.chunk_received(name)
                    else:
                        self.failures[reason] = self.failures.get(reason, 0) + 1
                        plan.chunk_failed(
                            self.loop.now(), name, reason, len(self.partial_chunks.get(name, b""))
                        )
                elif step[0] == "get":
                    chunk = step[1]
                    tasks[chunk.name] = self.loop.spawn(
                        self.fetch_chunk(chunk, step[2], finished_chunks), f"chunk-{chunk.name[:8]}"
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

    def fetch_chunk(self, chunk, source, finished_chunks):
        """A task that fetches one chunk from one source.

        Puts (name, reason of the failure or None, exception that ends the whole fetch or None) into
        `finished_chunks`.
        """
        received, reason, error = self.partial_chunks.setdefault(chunk.name, bytearray()), None, None
        try:
            with Deadline(self.loop, self.grace_time + chunk.size * 1_000_000 // self.min_rate):
                yield from self.fetch_body(source, f"/chunks/{chunk.name}", received, chunk.size, chunk.size)
            data = bytes(self.partial_chunks.pop(chunk.name))
            self.store.put_chunk(chunk.name, data)
        except DeadlineExceededError:
            reason = "slow"
        except ChunkRequestError as refusal:
            reason = refusal.reason
        except DigestMismatchError:
            reason = "digest"
        except Exception as store_error:  # an error of the store ends the whole fetch
            error = store_error
        if reason in ("digest", "length", "redirect"):
            self.partial_chunks.pop(chunk.name, None)
        yield from finished_chunks.put((chunk.name, reason, error))

    def fetch_body(self, source, path, received: bytearray, size: int | None, max_bytes: int):
        """Fetches a body, resuming after the bytes in `received`, and follows redirects.

        `size`: expected length, None where unknown; `max_bytes`: limit of the length. Raises
        ChunkRequestError.
        """
        for _ in range(MAX_REDIRECTS + 1):
            location = yield from self.request_once(source, path, received, size, max_bytes)
            if location is None:
                return bytes(received)
            url = urlsplit(location)
            if url.netloc:
                matching_sources = [s for s in self.sources if f"{s[0]}:{s[1]}" == url.netloc]
                if not matching_sources:
                    raise ChunkRequestError("redirect")  # to an unknown host
                source = matching_sources[0]
            path = url.path
        raise ChunkRequestError("redirect")

    def request_once(self, source, path, received, size, max_bytes):
        """Sends one request; None once the body is complete, else the location of a redirect.

        Raises ChunkRequestError.
        """
        try:
            connection = yield from dial(self.loop, source, self.dial_time)
        except (RefusedError, UnreachableError, HandlesExhaustedError, DeadlineExceededError):
            raise ChunkRequestError("refused") from None
        try:
            start = len(received)
            fields = [(b"host", f"{source[0]}:{source[1]}".encode()), (b"connection", b"close")]
            if start:
                fields.append((b"range", b"bytes=%d-" % start))
            yield from connection.write(http1.request("GET", path, fields))
            parser = http1.ResponseParser(http1.MessageLimits(body=max_bytes + 1))
            while True:
                data = yield from connection.read()
                for kind, value in parser.feed(data) if data else parser.closed():
                    if kind == "head":
                        if value.status in (301, 302, 307, 308):
                            return (value.get(b"location") or b"").decode("latin-1")
                        self.check_response(value, received, size)
                    elif kind == "body":
                        received += value
                        self.received_bytes += len(value)
                        if len(received) > (max_bytes if size is None else size):
                            raise ChunkRequestError("length")
                        yield from self.rate.throttle(len(value))
                    elif size is not None and len(received) != size:
                        raise ChunkRequestError("length")
                    else:
                        return None
        except http1.TruncatedMessageError:
            raise ChunkRequestError("cut") from None
        except ConnectionLostError:
            raise ChunkRequestError("cut") from None
        except http1.HttpMessageError as error:
            raise ChunkRequestError("length" if error.status == 413 else "status") from None
        finally:
            connection.close()

    @staticmethod
    def check_response(head, received, size):
        """Raises ChunkRequestError where the response does not match the request.

        A source without range support sends the whole body, so `received` is cleared.
        """
        if head.status == 206 and received:
            content_range = head.get(b"content-range") or b""
            if not content_range.startswith(b"bytes %d-" % len(received)):
                raise ChunkRequestError("length")
        elif head.status == 200:
            received.clear()
        else:
            raise ChunkRequestError("status")
        length = head.get(b"content-length")
        if size is not None and length is not None and int(length) != size - len(received):
            raise ChunkRequestError("length")
