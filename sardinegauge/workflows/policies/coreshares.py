"""Policies of how best-effort tasks share the cores that a worker has left.

They are made for bursts in which more best-effort tasks fit into the memory of a worker
than its cores can carry. If all of them share the cores, all workflows end late; in
order of urgency, they end one after the other, and many of them in time.
"""

import abc

# Share of its reserved cores that a latency-critical task uses at least. The left-over
# cores are overestimated rather than underestimated, as cores that are ordered to stand
# idle are lost, while a few shared ones only delay the first in line a little.
LEAST_LATENCY_CRITICAL_USE = 0.35
# Share that a task gets at least, so that no core stands idle if more is left over than
# estimated.
MIN_SHARE = 0.1
# Best-effort tasks that use less than this share of what their caps allow are short of
# cores. Tasks with cores of their own use about 0.8 of what they declare.
SHORTAGE_SHARE = 0.6
# Time for which the cores are shared in order after a report that shows a shortage.
SHORTAGE_MS = 3000


class CoreSharingPolicy(abc.ABC):
    """Gives each best-effort task a share of the cores that it demands."""

    @abc.abstractmethod
    def shares(self, left_millis, demands):
        """Return the shares, from 0 to 1, by key.

        Parameters
        ----------
        left_millis : float
            Thousandths of a core that the other tasks leave.
        demands : list of tuple
            Key and demanded thousandths of a core of each task, the most urgent first.
        """


class Proportional(CoreSharingPolicy):
    """Orders no shares: the worker divides its cores in proportion to the demands."""

    def shares(self, left_millis, demands):
        """Return 1 for each task."""
        return {key: 1.0 for key, _ in demands}


class InOrder(CoreSharingPolicy):
    """Gives the most urgent tasks all that they demand, and the others what is left.

    Examples
    --------
    >>> InOrder().shares(10_000, [("a", 7000), ("b", 6000), ("c", 6000)])
    {'a': 1.0, 'b': 0.5, 'c': 0.1}
    """

    def shares(self, left_millis, demands):
        """Return the shares by key."""
        left_millis = max(left_millis, 0.0)
        share_by_key = {}
        for key, demand_millis in demands:
            granted_millis = min(demand_millis, left_millis)
            left_millis -= granted_millis
            share = granted_millis / demand_millis if demand_millis else 1.0
            share_by_key[key] = max(share, MIN_SHARE)
        return share_by_key


def left_over_millis(capacity_millis, batch_millis, latency_critical_millis):
    """Return the thousandths of a core that other tasks leave to best-effort tasks.

    Parameters
    ----------
    capacity_millis : float
    batch_millis : float
        Used by tasks that are neither best-effort nor latency-critical.
    latency_critical_millis : float
        Reserved by latency-critical tasks.
    """
    used_millis = batch_millis + LEAST_LATENCY_CRITICAL_USE * latency_critical_millis
    return max(capacity_millis - used_millis, 0.0)


def is_short(demands, used_millis):
    """Return whether best-effort tasks get far fewer cores than their caps allow.

    Parameters
    ----------
    demands : list of tuple
        Key and allowed thousandths of a core of each task.
    used_millis : float
        Measured thousandths of a core of all of them.

    Examples
    --------
    >>> is_short([("a", 6000), ("b", 6000)], 9000), is_short([("a", 6000)], 3000)
    (False, True)
    """
    return used_millis < SHORTAGE_SHARE * sum(millis for _, millis in demands)
