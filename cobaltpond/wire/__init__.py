"""Codecs without I/O: bytes in, events out."""
