"""Interface of the client of the policy service, which decides where steps may run."""

import abc

from sardinegauge import record


class NoAdviceError(Exception):
    """The service gave no usable answer, so the question must be repeated."""


class Advice(record.Record):
    """An answer: rows of worker and ticket, valid for `valid_ms` from its receipt.

    `valid_ms` is None if the answer names no time; then that of the queue holds.
    """

    __slots__ = ("tickets", "valid_ms")


class AdviceClient(abc.ABC):
    """Asks the policy service."""

    @abc.abstractmethod
    async def ask(self, step, workers, timeout_s):
        """Return the `Advice` on a step.

        Parameters
        ----------
        step : str
            ``workflow.occurrence.step``.
        workers : list of str
            Ids of the workers that the service decides on.
        timeout_s : float
            Time within which the answer must be complete, in seconds.

        Raises
        ------
        NoAdviceError
            If there is no complete answer in time.
        """

    def close(self):
        """Close all connections."""


class NoService(AdviceClient):
    """Client for deployments without a policy service."""

    async def ask(self, step, workers, timeout_s):
        """Raise `NoAdviceError`."""
        raise NoAdviceError("no policy service is set")
