"""Translates errors of HTTP calls into those of the key-value client."""

import collections.abc
import contextlib

import httpcore
import trio

from toucanhold.coordination import keyvalue


@contextlib.contextmanager
def translated_errors() -> collections.abc.Iterator[None]:
    """Translate transport errors of one call by whether the call may have taken effect.

    :raises keyvalue.UnavailableError: when the call never reached the service
    :raises keyvalue.IndeterminateError: when it may have taken effect
    """
    try:
        yield
    except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
        raise keyvalue.UnavailableError(f"cannot connect: {error!r}") from error
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        raise keyvalue.IndeterminateError(
            f"connection failed before the response: {error!r}"
        ) from error
    except trio.TooSlowError as error:
        raise keyvalue.IndeterminateError("call timed out") from error
