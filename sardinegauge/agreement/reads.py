"""Requests that wait for a read round of the agreement.

The module that handles a message registers in `refusals` how to refuse it.
"""

from sardinegauge import record
from sardinegauge.agreement import raft
from sardinegauge.state import replicasteps

refusals = {}


class Read(record.Record):
    """A request that waits for its read round and for entries up to `index`."""

    __slots__ = ("index", "is_confirmed", "message", "token")
    _defaults = {"index": 0, "is_confirmed": False}


class Reads:
    """Reads in progress by their number."""

    def __init__(self):
        self.reads = {}
        self.confirmed = []
        self.next_read = 1


def ask_read(state, token, message, is_lazy=False):
    """Queue a request until a read round confirms the leadership."""
    read = state.reads.next_read
    state.reads.next_read += 1
    state.reads.reads[read] = Read(message=message, token=token)
    event = raft.ReadRequested(now_ms=state.now_ms, read=read, is_lazy=is_lazy)
    replicasteps.feed_raft(state, event)


def on_read_ready(state, read, index):
    """Note that a read may be answered once `index` is applied."""
    waiting = state.reads.reads.pop(read)
    waiting.index = index
    state.reads.confirmed.append(waiting)


def on_read_failed(state, read):
    """Refuse a read that this replica cannot confirm."""
    refuse(state, state.reads.reads.pop(read))


def refuse(state, read):
    """Refuse a read that this replica cannot confirm."""
    refusals[type(read.message)](state, read)
