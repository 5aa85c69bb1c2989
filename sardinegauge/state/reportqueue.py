"""Reports of agents that wait for the reducer of a busy leader.

A report holds the whole state of its worker, so a later one replaces it. Without that,
a leader that is late processes reports whose senders have given up and sent others, and
the more it is late, the more there are.
"""

import asyncio
import time

from sardinegauge import record

# Reports are processed for at most this long before messages of other replicas, which
# decide whether a leader stays one.
SLICE_S = 0.01


class WaitingReport(record.Record):
    """A report with the token of its exchange."""

    __slots__ = ("message", "token")


class ReportQueue:
    """The newest waiting report of each worker, in the order of their first arrival.

    Reports that ask for a lease are kept apart, since a later one may not ask for it.

    Examples
    --------
    >>> from sardinegauge.links import messages
    >>> queue = ReportQueue()
    >>> queue.put(1, messages.WorkerReport(worker="a", sequence=1))
    >>> queue.put(2, messages.WorkerReport(worker="a", sequence=2)).token
    1
    >>> queue.pop().token, len(queue)
    (2, 0)
    """

    __slots__ = ("_report_by_key",)

    def __init__(self):
        self._report_by_key = {}

    def __len__(self):
        return len(self._report_by_key)

    def put(self, token, message):
        """Add a report; return the `WaitingReport` that it replaces, or None.

        An older report that arrives later, over another link, replaces none and is
        returned itself.
        """
        waiting = WaitingReport(message=message, token=token)
        key = (message.worker, message.life, message.is_lease_wanted)
        earlier = self._report_by_key.get(key)
        if earlier is not None and earlier.message.sequence > message.sequence:
            return waiting
        self._report_by_key[key] = waiting
        return earlier

    def pop(self):
        """Remove and return the report that came first."""
        return self._report_by_key.pop(next(iter(self._report_by_key)))


class Intake:
    """Passes reports on between other messages.

    Parameters
    ----------
    process : callable
        Called with the token and the message of a report.
    on_replaced : callable
        Called with the token of a report that a later one replaces.
    """

    def __init__(self, process, on_replaced):
        self._process = process
        self._on_replaced = on_replaced
        self._queue = ReportQueue()
        self._is_scheduled = False

    def put(self, token, message):
        """Queue a report, to be processed after the messages that have arrived."""
        replaced = self._queue.put(token, message)
        if replaced is not None:
            self._on_replaced(replaced.token)
        self._schedule()

    def _schedule(self):
        if self._queue and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self):
        self._is_scheduled = False
        end_s = time.perf_counter() + SLICE_S
        while self._queue and time.perf_counter() < end_s:
            waiting = self._queue.pop()
            self._process(waiting.token, waiting.message)
        self._schedule()
