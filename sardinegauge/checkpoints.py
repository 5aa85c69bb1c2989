"""What the log can hold of a checkpoint; agents leave out any other one."""

# A report of an agent and an order to it hold at least one checkpoint of this length.
MAX_LENGTH = 16_384


def is_storable(checkpoint):
    """Return whether the log can hold a checkpoint.

    Examples
    --------
    >>> is_storable("c" * MAX_LENGTH), is_storable("c" * (MAX_LENGTH + 1))
    (True, False)
    """
    if len(checkpoint) > MAX_LENGTH:
        return False
    # Lone surrogates, which JSON may hold, are no characters.
    return checkpoint.isascii() or not any(
        "\ud800" <= c <= "\udfff" for c in checkpoint
    )
