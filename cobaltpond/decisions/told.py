"""A sample as one gateway tells it to another: a few bytes, nothing decided."""
from struct import calcsize, pack, unpack
from zlib import crc32


class Told:
    """Tag of instance and build, path group and errored, milliseconds, crowd."""
    FORM = ">IBHB"

    @staticmethod
    def tag(instance):
        return crc32(f"{instance.id} {instance.build.number}".encode())

    @classmethod
    def pack(cls, sample, group):
        return pack(cls.FORM, cls.tag(sample.instance), group << 1 | sample.errored,
                    min(65535, sample.latency // 1000), min(255, int(sample.crowd)))

    @classmethod
    def unpack(cls, data):
        """Instance's tag, path group's place, errored, latency, crowd; no tag where it is no such message."""
        if len(data) != calcsize(cls.FORM):
            return None, 0, False, 0, 0
        tag, bits, latency, crowd = unpack(cls.FORM, data)
        return tag, bits >> 1, bool(bits & 1), latency * 1000, crowd
