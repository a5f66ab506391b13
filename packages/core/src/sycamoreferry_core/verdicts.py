"""Keep the result codes of recent records to detect repeated ones."""

import dataclasses
import typing

from sycamoreferry_core import decoding, ids, result_codes

# Verdicts are kept for at most this many offsets, rounded to whole pages.
REMEMBERED_OFFSETS = 4096
# Each record copies the newest page, so pages are small.
PAGE_OFFSETS = 64


@dataclasses.dataclass(frozen=True)
class VerdictPage:
    """Hold the verdicts of PAGE_OFFSETS consecutive offsets."""

    number: decoding.WholeNumber
    codes: typing.Mapping[ids.RecordId, result_codes.ResultCode]


@dataclasses.dataclass(frozen=True)
class RecentVerdicts:
    """Hold recent verdicts in pages by offset, oldest first."""

    pages: tuple[VerdictPage, ...] = ()

    def code_of(
        self,
        record_id: ids.RecordId,
    ) -> result_codes.ResultCode | None:
        """Return the verdict of a record; None if it is unknown or expired."""
        for page in reversed(self.pages):
            code = page.codes.get(record_id)
            if code is not None:
                return code
        return None

    def add(
        self,
        offset: ids.Offset,
        record_id: ids.RecordId,
        code: result_codes.ResultCode,
    ) -> typing.Self:
        """Return the verdicts with one added and expired pages dropped."""
        number = offset // PAGE_OFFSETS
        oldest = number - REMEMBERED_OFFSETS // PAGE_OFFSETS
        kept = [page for page in self.pages if page.number > oldest]
        codes: dict[ids.RecordId, result_codes.ResultCode] = {}
        if kept and kept[-1].number == number:
            codes.update(kept.pop().codes)
        codes[record_id] = code
        return dataclasses.replace(
            self, pages=(*kept, VerdictPage(number, codes))
        )
