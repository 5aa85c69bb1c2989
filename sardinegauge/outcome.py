"""Verdicts (whether a request may have run) and tagged outcomes of calls."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Whether a request may have run at an upstream or in the state machine.

    ``NOT_RUN`` guarantees that the request did not run and never will under this
    attempt. ``MAY_HAVE_RUN`` means that an answer was lost. ``RAN`` means that the
    request ran, whatever its status.

    Examples
    --------
    >>> Verdict("not-run").may_retry(idempotent=False)
    True
    >>> Verdict.MAY_HAVE_RUN.may_retry(idempotent=False)
    False
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    def may_retry(self, idempotent):
        """Return whether another attempt is safe."""
        if self is Verdict.NOT_RUN:
            return True
        return idempotent and self is Verdict.MAY_HAVE_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run; it can be repeated after `retry_after_ms`."""

    reason: str
    retry_after_ms: int = 1000
    verdict: Verdict = Verdict.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent, but no complete answer arrived."""

    reason: str
    verdict: Verdict = Verdict.MAY_HAVE_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request ran and its complete answer is known."""

    value: object
    verdict: Verdict = Verdict.RAN


@dataclasses.dataclass(frozen=True, slots=True)
class Redirected:
    """The peer is not the leader; `leader` is the leader's address, or empty."""

    leader: str
    verdict: Verdict = Verdict.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A command was applied.

    Parameters
    ----------
    version : int
        The new configuration version, or 0 where the command has none.
    ids : list of str
        Ids of the objects that the command created or changed.
    value : dict
        Additional results by name.
    """

    version: int = 0
    ids: list = dataclasses.field(default_factory=list)
    value: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another change was accepted first; `version` and `operator` identify it."""

    version: int
    operator: str
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The command was malformed and changed nothing.

    Parameters
    ----------
    problems : list of [str, str]
        Pairs of the field's path and the reason.
    """

    problems: list


@dataclasses.dataclass(frozen=True, slots=True)
class Impossible:
    """The command can never be executed, for the given reason."""

    reason: str


_BY_NAME = {cls.__name__: cls for cls in (Accepted, Conflict, Invalid, Impossible)}


def to_plain(answer):
    """Return a command's answer as a tagged plain dict for storage.

    Examples
    --------
    >>> to_plain(Impossible(reason="no VM has 9 accelerators"))
    {'kind': 'Impossible', 'reason': 'no VM has 9 accelerators'}
    """
    return {"kind": type(answer).__name__, **dataclasses.asdict(answer)}


def from_plain(data):
    """Return the command's answer that `to_plain` converted."""
    fields = dict(data)
    return _BY_NAME[fields.pop("kind")](**fields)
