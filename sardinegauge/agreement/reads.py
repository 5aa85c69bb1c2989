"""Requests that wait until a read round confirms the leadership of this replica.

`refusal_by_message_class` maps the class of a message to the function that answers it
when the read fails; the modules that handle the messages register there.
"""

from sardinegauge import record
from sardinegauge.agreement import raft
from sardinegauge.state import replicasteps

refusal_by_message_class = {}


class Read(record.Record):
    """A request that waits for its read round, then for the entry at `index`.

    `token` identifies the request to the module that answers it.
    """

    __slots__ = ("index", "is_confirmed", "message", "token")
    _defaults = {"index": 0, "is_confirmed": False}


class Reads:
    """The reads in progress.

    Unconfirmed reads are keyed by their number; confirmed ones wait for their entry to
    be applied.
    """

    def __init__(self):
        self.unconfirmed_by_number = {}
        self.confirmed = []
        self.next_number = 1


def ask_read(state, token, message, is_lazy=False):
    """Queue a request until a read round confirms the leadership.

    A lazy read waits for the round of the next heartbeat.
    """
    number = state.reads.next_number
    state.reads.next_number += 1
    state.reads.unconfirmed_by_number[number] = Read(message=message, token=token)
    event = raft.ReadRequested(now_ms=state.now_ms, read=number, is_lazy=is_lazy)
    replicasteps.step_raft(state, event)


def on_read_ready(state, number, index):
    """Record that a read may be answered once the entry at `index` is applied."""
    read = state.reads.unconfirmed_by_number.pop(number)
    read.index = index
    state.reads.confirmed.append(read)


def on_read_failed(state, number):
    """Refuse a read that failed before a read round confirmed it."""
    refuse(state, state.reads.unconfirmed_by_number.pop(number))


def refuse(state, read):
    """Answer a read with the refusal registered for its message."""
    refusal_by_message_class[type(read.message)](state, read)
