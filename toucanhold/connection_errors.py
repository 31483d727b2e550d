"""Classification of connection errors."""


def is_connection_refused(error: BaseException | None) -> bool:
    """Tell whether ``error`` is a refused connection, looking through its causes and groups.

    A refused connection is the only failure that proves that no process listens at the address;
    after any other failure the process may still run. A group counts only if all its errors do.
    """
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        if isinstance(error, BaseExceptionGroup):
            return all(map(is_connection_refused, error.exceptions))
        error = error.__cause__ or error.__context__
    return False
