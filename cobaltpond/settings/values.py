"""Value types of the fields of a settings file, and the base class of its sections."""

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=80)]
Duration = Annotated[int, Meta(ge=1000, description="a time: ms(...) or s(...), at least 1 ms")]
NonNegativeDuration = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
PositiveCount = Annotated[int, Meta(ge=1)]
NonNegativeCount = Annotated[int, Meta(ge=0)]
NonNegativeNumber = Annotated[float, Meta(ge=0)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$", description="host:port")]


class Section(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One call of the settings file. The types of the fields check each value by itself;
    `validation_error` checks the rest.
    """

    def validation_error(self, declared: dict) -> str | None:
        """Returns what is wrong with this call as a text for the operator, or None. `declared` holds the
        sections read so far, as a list for each call name.
        """
        return None
