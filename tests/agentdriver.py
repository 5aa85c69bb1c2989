"""Drives the agent's reducer in virtual time."""

from sardinegauge.agents import agent, agentevents
from sardinegauge.links import httpmessages, messages

LEASE_MS = 10_000
ROOM = messages.Room(cores=4, memory_mb=1000, tasks=2, connections=2)


def new_state(has_worker=False, queue=2):
    identity = agentevents.Identity(
        upstream="u1", incarnation="u1-1", address="127.0.0.1:1", room=ROOM
    )
    return agent.State(identity, ["s1", "s2"], 0, has_worker, queue)


def of_kind(kind, effects):
    return [effect for effect in effects if isinstance(effect, kind)]


def reply(state, now_ms, sequence, orders=(), address="s1", **fields):
    defaults = {"confirmed": True, "lease_ms": LEASE_MS, "tasks": list(orders)}
    directive = messages.Directive(sequence=sequence, **{**defaults, **fields})
    event = agentevents.DirectiveReceived(
        now_ms=now_ms, address=address, directive=directive
    )
    return agent.reduce(state, event)


def ready_state(now_ms=0):
    """Return a state whose first heartbeat, sent at `now_ms`, was confirmed."""
    state = new_state()
    agent.reduce(state, agentevents.Tick(now_ms=now_ms))
    reply(state, now_ms, 1)
    return state


def arrive(state, number, now_ms=0, deadline_ms=1000, **fields):
    head = httpmessages.RequestHead(
        service="shop", incarnation="u1-1", deadline_ms=deadline_ms, **fields
    )
    return agent.reduce(
        state, agentevents.RequestArrived(now_ms=now_ms, request=number, head=head)
    )
