"""Remember how recent records were folded."""

import dataclasses
import typing

from sycamoreferry_core import ids, result_codes

# A record's verdict is kept until the log has grown by this many offsets.
REMEMBERED_OFFSETS = 4096
# A page is copied for each record, so pages are small.
PAGE_OFFSETS = 64


@dataclasses.dataclass(frozen=True)
class Page:
    """Hold the verdicts of one run of offsets."""

    number: int
    codes: typing.Mapping[ids.RecordId, result_codes.ResultCode]


@dataclasses.dataclass(frozen=True)
class VerdictMemory:
    """Hold verdicts in pages by offset, the oldest first."""

    pages: tuple[Page, ...] = ()

    def code_of(
        self,
        record_id: ids.RecordId,
    ) -> result_codes.ResultCode | None:
        """Return the verdict of a record, if it is remembered."""
        for page in reversed(self.pages):
            code = page.codes.get(record_id)
            if code is not None:
                return code
        return None

    def remember(
        self,
        offset: ids.Offset,
        record_id: ids.RecordId,
        code: result_codes.ResultCode,
    ) -> typing.Self:
        """Return the memory with one verdict more and old pages gone."""
        number = offset // PAGE_OFFSETS
        oldest = number - REMEMBERED_OFFSETS // PAGE_OFFSETS
        kept = [page for page in self.pages if page.number > oldest]
        codes: dict[ids.RecordId, result_codes.ResultCode] = {}
        if kept and kept[-1].number == number:
            codes.update(kept.pop().codes)
        codes[record_id] = code
        return dataclasses.replace(self, pages=(*kept, Page(number, codes)))
