"""What errors of an HTTP call to a key-value service tell of its effect."""

import collections.abc
import contextlib

import httpcore
import trio

from toucanhold.coordination import keyvalue


@contextlib.contextmanager
def translated_errors() -> collections.abc.Iterator[None]:
    """Turn errors of a call into those of the key-value client.

    :raises keyvalue.UnavailableError: when the call never reached the service
    :raises keyvalue.IndeterminateError: when it may have taken effect
    """
    try:
        yield
    except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
        raise keyvalue.UnavailableError(f"cannot connect: {error!r}") from error
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        raise keyvalue.IndeterminateError(f"answer lost: {error!r}") from error
    except trio.TooSlowError as error:
        raise keyvalue.IndeterminateError("no answer in time") from error
