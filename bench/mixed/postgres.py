"""As much of PostgreSQL's protocol as a client and an instance of the platform need: simple queries only."""

import socket
import socketserver
import struct

READY = b"Z\0\0\0\5I"
TIME_OUT = 5.0  # seconds
SELECT = "SELECT payload FROM entries WHERE ref = '{ref}' /* id={ref},c={group},t={tenant},d={left} */"
INSERT = (
    "INSERT INTO entries (ref, payload) VALUES ('{ref}', '\\x9f03') RETURNING payload "
    "/* id={ref},c={group},t={tenant},d={left},k={ref} */"
)


def message(kind: bytes, body: bytes) -> bytes:
    """A message of the protocol, version 3."""
    return kind + struct.pack(">I", len(body) + 4) + body


def startup() -> bytes:
    """What a client sends first."""
    body = b"\0\3\0\0user\0web\0database\0orders\0\0"
    return struct.pack(">I", len(body) + 4) + body


def welcome() -> bytes:
    """What a server answers to that."""
    return message(b"R", b"\0\0\0\0") + message(b"S", b"server_version\0" + b"15.0\0") + READY


def one_value(value: bytes, command: bytes) -> bytes:
    """An answer of one row with one column."""
    column = b"payload\0" + struct.pack(">IhIhih", 0, 0, 17, -1, -1, 1)
    row = b"\0\1" + struct.pack(">I", len(value)) + value
    return message(b"T", b"\0\1" + column) + message(b"D", row) + message(b"C", command + b"\0") + READY


def read_message(stream) -> tuple[bytes, bytes]:
    """(kind, body). Raises ConnectionError at the end of the stream."""
    head = stream.read(5)
    if len(head) < 5:
        raise ConnectionError("the conversation ended")
    return head[:1], stream.read(struct.unpack(">I", head[1:])[0] - 4)


class Client:
    """One connection to a gateway of the platform. Raises OSError where there is none."""

    def __init__(self, port: int):
        self.connection = socket.create_connection(("127.0.0.1", port), TIME_OUT)
        self.stream = self.connection.makefile("rb")
        self.connection.sendall(startup())
        self.answer()

    def __enter__(self) -> "Client":
        """The connection is open already."""
        return self

    def __exit__(self, *_) -> None:
        """Closes the connection."""
        self.stream.close()
        self.connection.close()

    def ask(self, statement: str) -> str:
        """The value that was delivered, or `error` and its SQLSTATE."""
        self.connection.sendall(message(b"Q", statement.encode() + b"\0"))
        return self.answer()

    def answer(self) -> str:
        """Up to the server's word that it is ready."""
        told = ""
        while True:
            kind, body = read_message(self.stream)
            if kind == b"D":
                told = body[6:].decode()
            elif kind == b"E":
                code = next(part[1:] for part in body.split(b"\0") if part.startswith(b"C"))
                told = f"error {code.decode()}"
            elif kind == b"Z":
                return told


class Instance(socketserver.ThreadingTCPServer):
    """Answers every statement with its own name; counts them."""

    allow_reuse_address = daemon_threads = True

    def __init__(self, name: str):
        super().__init__(("127.0.0.1", 0), Conversation)
        self.name, self.statements = name, 0

    @property
    def address(self) -> str:
        """Host and port, as discovery lists them."""
        host, port = self.server_address
        return f"{host}:{port}"


class Conversation(socketserver.StreamRequestHandler):
    """One connection to an instance."""

    server: Instance

    def handle(self) -> None:
        """Answers statements until the gateway closes the connection."""
        try:
            (length,) = struct.unpack(">I", self.rfile.read(4))
            self.rfile.read(length - 4)
            self.wfile.write(welcome())
            while True:
                kind, body = read_message(self.rfile)
                if kind != b"Q":
                    return
                self.wfile.write(self.reply(body))
        except (OSError, struct.error):
            return  # the gateway has closed the connection

    def reply(self, statement: bytes) -> bytes:
        """The answer to one statement; an empty one does nothing."""
        if statement == b"\0":
            return message(b"I", b"") + READY
        if statement.startswith(b"SHOW"):
            return one_value(b"inflight=1", b"SHOW")
        self.server.statements += 1
        return one_value(
            self.server.name.encode(), b"SELECT 1" if statement.startswith(b"SELECT") else b"INSERT 0 1"
        )
