"""Set how the C library allocates memory."""

import ctypes

# M_MMAP_THRESHOLD of <malloc.h>.
_MMAP_THRESHOLD = -3
_THRESHOLD_BYTES = 65_536


def return_large_blocks() -> None:
    """Return each freed block of 64 KiB or more to the system at once.

    The threshold otherwise rises with the blocks that are freed. Crowds of
    bodies of 1 MB then took 15 to 30 MB more, in gaps between blocks.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    # Only some C libraries have the function.
    if mallopt is not None:
        mallopt(_MMAP_THRESHOLD, _THRESHOLD_BYTES)
