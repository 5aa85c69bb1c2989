"""Choice of one upstream among candidates: abstract base class and its policies."""

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
            Time of the choice in milliseconds.
        """


class RoundRobin(Balancer):
    """Baseline: the candidates in turn, whatever their load."""

    def __init__(self):
        self._turn = -1

    def choose(self, candidates, seed, now_ms):
        """Return the next candidate in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class RandomChoice(Balancer):
    """Baseline: any candidate with equal chance."""

    def choose(self, candidates, seed, now_ms):
        """Return a random candidate."""
        return candidates[seed % len(candidates)]


class TwoChoices(Balancer):
    """The less loaded of two random candidates.

    Entries see each other's load only with a delay, so the least loaded of all would
    draw the requests of every entry at once. Two random choices avoid that.
    """

    def choose(self, candidates, seed, now_ms):
        """Return the less loaded of two different random candidates."""
        count = len(candidates)
        if count == 1:
            return candidates[0]
        seed, first = divmod(seed, count)
        second = seed % (count - 1)
        if second >= first:
            second += 1
        one, other = candidates[first], candidates[second]
        return one if one.load(now_ms) <= other.load(now_ms) else other
