"""Signing keys and signed builds for tests."""

import base64

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import settings

from cobaltpond.builds.manifest import KeyRing, SigningKey
from cobaltpond.standins.build_server import make_build

KEYS = {
    name: Ed25519PrivateKey.from_private_bytes(bytes([n]) * 32)
    for n, name in enumerate(("one", "two", "old"))
}
repeatable = settings(derandomize=True, deadline=None, max_examples=100)


def signing_key(name, since=0, until=1000):
    return SigningKey(
        name, base64.b64encode(KEYS[name].public_key().public_bytes_raw()).decode(), since, until
    )


RING = KeyRing(1, [signing_key("one"), signing_key("old", 0, 100)])
FILES = {"serve": b"#!/bin/sh\n" * 900, "lib/a.bin": bytes(range(256)) * 64, "empty": b""}


def signed_build(number=42, signers=("one",), files=FILES, **more):
    return make_build(number, files, {s: KEYS[s] for s in signers}, 10, 900, **more)


VALID_MANIFEST = signed_build()[0]
