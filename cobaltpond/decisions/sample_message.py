"""A sample as one gateway tells it to another: a few bytes, nothing decided."""

from struct import calcsize, pack, unpack
from zlib import crc32


class SampleMessage:
    """Tag of instance and build, path group and errored, milliseconds, crowd; of an older one how old, in 10
    ms."""

    FORM, OLDER = ">IBHB", ">IBHBH"

    @staticmethod
    def tag_of(instance):
        return SampleMessage.instance_tag(instance.id, instance.build.number)

    @staticmethod
    def instance_tag(id, build):
        return crc32(f"{id} {build}".encode())

    @classmethod
    def pack(cls, sample, group, age=0):
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
        """Instance's tag, path group's place, errored, latency, crowd, age; no tag where it is no such
        message."""
        if len(data) not in (calcsize(cls.FORM), calcsize(cls.OLDER)):
            return None, 0, False, 0, 0, 0
        older = len(data) == calcsize(cls.OLDER)
        tag, bits, latency, crowd, *age = unpack(cls.OLDER if older else cls.FORM, data)
        return tag, bits >> 1, bool(bits & 1), latency * 1000, crowd, sum(age) * 10_000
