"""The fence of an agent's process, the lowest number that its worker accepts of a call.

A worker refuses a call with a lower fence than the highest one it has seen. It may
execute a call of a former process of the agent seconds after that process has ended, so
each process raises the fence above all that the worker has seen before it starts runs:
it looks for a number that the worker accepts, and takes the next one. The first list
under that number shows all that calls of former processes have started.
"""

import logging

log = logging.getLogger(__name__)


def first_fence(incarnation, started_wall_ms):
    """Return the number to begin with, which is likely above all former ones.

    It rises with each incarnation of the worker and each process of its agent, so that
    the worker refuses it only if the agent's clock was set back.
    """
    return incarnation + started_wall_ms


def on_accepted(state, fence):
    """Process a hold that the worker accepted: take the next number, then use it."""
    if state.is_fenced or fence != state.fence:
        return
    if state.is_fence_highest:
        state.is_fenced = True
        state.report()
        return
    # A former process may have used the accepted number itself.
    state.is_fence_highest = True
    state.fence += 1


def on_refused(state, fence):
    """Raise the fence, as the worker has seen a higher one."""
    if fence != state.fence:
        return
    log.info(
        "fence_refused worker=%s life=%d fence=%d step=%d",
        state.announcement.worker,
        state.incarnation,
        fence,
        state.fence_step,
    )
    state.is_fenced = False
    state.is_fence_highest = False
    state.fence += state.fence_step
    state.fence_step *= 2
