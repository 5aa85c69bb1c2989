"""Load balancing policies that choose one upstream among candidates."""

import abc


class Balancer(abc.ABC):
    """Chooses an upstream for one attempt."""

    @abc.abstractmethod
    def choose(self, candidates, seed, now_ms):
        """Return one of the candidates.

        Parameters
        ----------
        candidates : list of upstreamtable.Upstream
            At least one.
        seed : int
            Random integer of 64 bits.
        now_ms : int
            Current time in milliseconds.
        """


class RoundRobin(Balancer):
    """Baseline: the candidates in turn, regardless of their load."""

    def __init__(self):
        self._position = -1

    def choose(self, candidates, seed, now_ms):
        """Return the next candidate in turn."""
        self._position += 1
        return candidates[self._position % len(candidates)]


class RandomChoice(Balancer):
    """Baseline: a uniformly random candidate."""

    def choose(self, candidates, seed, now_ms):
        """Return a random candidate."""
        return candidates[seed % len(candidates)]


class TwoChoices(Balancer):
    """The less loaded of two random candidates.

    Entries learn each other's load with a delay. If each entry chose the least loaded
    upstream of all, every entry would send its requests there at once; two random
    choices avoid that.
    """

    def choose(self, candidates, seed, now_ms):
        """Return the less loaded of two different random candidates."""
        count = len(candidates)
        if count == 1:
            return candidates[0]
        seed, first_index = divmod(seed, count)
        second_index = seed % (count - 1)
        if second_index >= first_index:
            second_index += 1
        first, second = candidates[first_index], candidates[second_index]
        return first if first.load(now_ms) <= second.load(now_ms) else second
