"""Exceptions: user-facing errors, and errors of links."""


class UserError(Exception):
    """An error that the user can act on.

    The command line prints the message without a traceback and exits with
    `exit_status`.
    """

    exit_status = 1


class UsageError(UserError):
    """The command line is invalid; the message contains the usage."""

    exit_status = 2


class SettingsError(UserError):
    """The settings file is invalid; `problems` lists each error with its path."""

    exit_status = 2

    def __init__(self, path, problems):
        self.path = path
        self.problems = problems
        lines = "\n".join(f"  {problem}" for problem in problems)
        super().__init__(f"{path}: {len(problems)} error(s)\n{lines}")


class DataFolderError(UserError):
    """A file in the data folder is damaged or missing.

    Parameters
    ----------
    file : str
        The damaged file.
    offset : int
        Offset of the damage in bytes from the start of the file.
    reason : str
        What was found there.
    """

    exit_status = 3

    def __init__(self, file, offset, reason):
        self.file = file
        self.offset = offset
        super().__init__(f"{file}: offset {offset}: {reason}")


class WireError(Exception):
    """A frame from a peer could not be decoded or violated the protocol."""


class LinkClosedError(Exception):
    """The link to a peer closed before an exchange was complete."""
