"""What must happen before any other module is imported."""

import ctypes.util
import importlib


def import_trio() -> None:
    """Import trio without the child process that its import starts."""
    # trio looks for the thread library with ctypes.util.find_library, which runs /sbin/ldconfig.
    # A process here may start no other, and under such a policy the start would fail. Without the
    # library's name trio goes on, and only leaves its worker threads unnamed.
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        importlib.import_module("trio")
    finally:
        ctypes.util.find_library = find_library
