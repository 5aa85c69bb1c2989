"""Policies of which changes of a CPU cap are ordered.

They are made for demand that swings within seconds: the caps of best-effort tasks are
computed anew from each report, and most of the changes only follow the noise of the
measured latencies. Each ordered change is a call to the worker.
"""

import abc

# A cap that differs by less than this, in percent, is not ordered. The margin between
# the throttling limit and the latency target covers a cap that is too high. With a
# larger threshold for increases than for decreases, caps would be too low on average.
MIN_CHANGE_PERCENT = 20
# A smaller increase is ordered after the current cap has been in force for this long,
# so that a run returns to its full speed.
MIN_AGE_MS = 3000


class CapChangePolicy(abc.ABC):
    """Decides whether a computed CPU cap replaces the current one."""

    @abc.abstractmethod
    def choose(self, current, computed, age_ms):
        """Return the CPU cap in percent that is in force from now on.

        Parameters
        ----------
        current, computed : int
            Caps in percent.
        age_ms : int
            Time for which the current cap has been in force.
        """


class EveryChange(CapChangePolicy):
    """Orders every computed cap."""

    def choose(self, current, computed, age_ms):
        """Return the computed cap."""
        return computed


class LargeChanges(CapChangePolicy):
    """Orders a cap if it differs enough from the current one.

    A pause is always ordered, since it protects a task that stays over its target.

    Examples
    --------
    >>> policy = LargeChanges()
    >>> [policy.choose(60, computed, 100) for computed in (45, 40, 75, 80)]
    [60, 40, 60, 80]
    >>> policy.choose(5, 0, 100)
    0
    >>> policy.choose(90, 100, 100), policy.choose(90, 100, 4000)
    (90, 100)
    """

    def choose(self, current, computed, age_ms):
        """Return the computed cap if it is a pause or a large or a late change."""
        is_large = abs(computed - current) >= MIN_CHANGE_PERCENT
        is_late_increase = computed > current and age_ms >= MIN_AGE_MS
        if computed == 0 or is_large or is_late_increase:
            return computed
        return current
