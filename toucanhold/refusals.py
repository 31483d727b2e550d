"""Refused connections: the one failure that shows that a process is gone."""


def is_refusal(error: BaseException | None) -> bool:
    """Tell whether nothing listened at the address, following the causes of ``error``."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        if isinstance(error, BaseExceptionGroup):
            return all(map(is_refusal, error.exceptions))
        error = error.__cause__ or error.__context__
    return False
