"""Policies of which changes of a CPU cap are ordered.

They are made for demand that swings within seconds: the caps of best-effort tasks are
computed anew from each report, and most of the changes only follow the noise of the
measured latencies. Each ordered change is a call to the worker.
"""

import abc

# A cap that is lower by less than this, in percent, is not ordered. The margin between
# the throttling limit and the latency target covers the difference.
MIN_DECREASE_PERCENT = 10
# A cap that is higher by less than this, in percent, is ordered only after the current
# cap has been in force for `MIN_AGE_MS`, so that a cap does not follow an oscillation.
MIN_INCREASE_PERCENT = 25
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
    >>> [policy.choose(60, computed, 100) for computed in (55, 50, 80, 85)]
    [60, 50, 60, 85]
    >>> policy.choose(5, 0, 100)
    0
    >>> policy.choose(90, 100, 100), policy.choose(90, 100, 4000)
    (90, 100)
    """

    def choose(self, current, computed, age_ms):
        """Return the computed cap if it is a pause or a large or a late change."""
        if computed == 0 or computed <= current - MIN_DECREASE_PERCENT:
            return computed
        if computed >= current + MIN_INCREASE_PERCENT:
            return computed
        is_late_increase = computed > current and age_ms >= MIN_AGE_MS
        return computed if is_late_increase else current
