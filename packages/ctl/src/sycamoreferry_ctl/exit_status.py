"""Number the statuses that ferryctl ends with."""

import enum


@enum.unique
class ExitStatus(enum.IntEnum):
    """Name what scripts can tell apart."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    NOT_EVERYWHERE = 4


MEANINGS = {
    ExitStatus.DONE: 'done',
    ExitStatus.REFUSED: (
        'refused by a rule, or a stated outcome does not hold;'
        ' the output says which'
    ),
    ExitStatus.BAD_INPUT: 'the input is wrong; correct it and call again',
    ExitStatus.UNREACHABLE: (
        "the platform's log did not answer; call again when it is back"
    ),
    ExitStatus.NOT_EVERYWHERE: (
        'accepted, and not yet in force or done as the output lists'
    ),
}
