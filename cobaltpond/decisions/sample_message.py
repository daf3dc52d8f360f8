"""The wire format of a sample that one gateway sends to another."""

from struct import calcsize, pack, unpack
from zlib import crc32


class SampleMessage:
    """Packs and unpacks samples: tag of instance and build, path group and error bit, latency in
    milliseconds, hits in flight; a sample of 10 ms or older adds its age in units of 10 ms."""

    FORM, OLDER = ">IBHB", ">IBHBH"  # of a recent sample, and of one with its age

    @staticmethod
    def tag_of(instance):
        """Returns the tag of an instance record."""
        return SampleMessage.instance_tag(instance.id, instance.build.number)

    @staticmethod
    def instance_tag(id, build):
        """Returns the tag of an instance id and build number; it stays the same over a restart of the
        instance."""
        return crc32(f"{id} {build}".encode())

    @classmethod
    def pack(cls, sample, group, age=0):
        """Encodes a sample; `group` is the index of its path group, `age` is in microseconds. Latency, hits
        in flight and age are capped at the largest value that fits."""
        fields = (
            cls.tag_of(sample.instance),
            group << 1 | sample.errored,
            min(65535, sample.latency // 1000),
            min(255, int(sample.inflight)),
        )
        return (
            pack(cls.OLDER, *fields, min(65535, age // 10_000)) if age >= 10_000 else pack(cls.FORM, *fields)
        )

    @classmethod
    def unpack(cls, data):
        """Decodes a sample. Returns (tag, index of the path group, errored, latency, hits in flight, age),
        times in microseconds; the tag is None where the length is not that of a sample."""
        if len(data) not in (calcsize(cls.FORM), calcsize(cls.OLDER)):
            return None, 0, False, 0, 0, 0
        older = len(data) == calcsize(cls.OLDER)
        tag, bits, latency, inflight, *age = unpack(cls.OLDER if older else cls.FORM, data)
        return tag, bits >> 1, bool(bits & 1), latency * 1000, inflight, sum(age) * 10_000
