"""Initialisation that must run before any other module is imported."""

import ctypes.util
import importlib


def import_trio() -> None:
    """Import trio without starting a child process."""
    # At import trio looks up the thread library with ctypes.util.find_library, which runs
    # /sbin/ldconfig. Where a policy forbids child processes, the start would fail. Without the
    # library trio works as usual, except that its worker threads are unnamed.
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        importlib.import_module("trio")
    finally:
        ctypes.util.find_library = find_library
