"""Initialisation that must run before any other module is imported."""

import collections.abc
import contextlib
import ctypes.util
import gc
import importlib

# Most objects are freed without a collection. With the default of 700, a twentieth of the processor
# time goes into collections.
MIN_COLLECTED_OBJECTS = 2000
MIN_COLLECTIONS_PER_GENERATION = 20


@contextlib.contextmanager
def paused_garbage_collection() -> collections.abc.Iterator[None]:
    """Collect no garbage in the context; what it allocated is never examined afterwards.

    Imports create many objects that stay for good. Collections among them take a third of the
    import time, and each later full collection would examine all of them again.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        if was_enabled:
            gc.enable()


def import_trio() -> None:
    """Import trio without starting a child process."""
    # At import trio looks up the thread library with ctypes.util.find_library, which runs
    # /sbin/ldconfig. Where a policy forbids child processes, the start would fail. Without the
    # library trio works as usual, except that its worker threads are unnamed.
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        with paused_garbage_collection():
            importlib.import_module("trio")
    finally:
        ctypes.util.find_library = find_library


def collect_garbage_rarely() -> None:
    """Collect cyclic garbage less often than by default."""
    gc.set_threshold(
        MIN_COLLECTED_OBJECTS, MIN_COLLECTIONS_PER_GENERATION, MIN_COLLECTIONS_PER_GENERATION
    )
