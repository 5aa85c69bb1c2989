"""The policy service that decides which workers may run a step; adapters speak it."""

import abc

from sardinegauge import record


class NoAdviceError(Exception):
    """The service gave no answer, so the question is to be asked again."""


class Advice(record.Record):
    """An answer: rows of worker and ticket, valid for `valid_ms` from now on."""

    __slots__ = ("tickets", "valid_ms")


class AdvicePort(abc.ABC):
    """Asks the policy service."""

    @abc.abstractmethod
    async def ask(self, step, workers):
        """Return the `Advice` on a step.

        Parameters
        ----------
        step : str
            ``workflow.occurrence.step``.
        workers : list of str
            Ids of the workers to decide on.

        Raises
        ------
        NoAdviceError
            If there is no whole answer in time.
        """

    def close(self):
        """Close all connections."""


class NoService(AdvicePort):
    """For deployments without such a service."""

    async def ask(self, step, workers):
        """Raise `NoAdviceError`."""
        raise NoAdviceError("no policy service is set")
