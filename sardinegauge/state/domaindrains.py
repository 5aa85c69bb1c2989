"""Replicated set of drained failure domains.

Nothing may start in a drained domain, and what runs there moves away. The set holds
names only: a domain may be drained before any of its workers is known.
"""

from sardinegauge import outcome, record
from sardinegauge.state import snapshots

MAX_DRAINS = 1_000
"""Far above the number of domains of a deployment; bounds the set against a caller that
drains ever new names."""


class DomainDrain(record.Record):
    """A drained failure domain.

    `since_ms` is the wall-clock time of the request, `operator` the name of its author.
    """

    __slots__ = ("failure_domain", "since_ms", "operator")


class DomainDrains:
    """The drained failure domains by name, in the order of their requests.

    Examples
    --------
    >>> drains = DomainDrains()
    >>> "zone-a" in drains
    False
    """

    __slots__ = ("by_domain",)

    def __init__(self):
        self.by_domain = {}

    def __contains__(self, failure_domain):
        return failure_domain in self.by_domain

    def to_snapshot(self):
        """Return the set as plain data."""
        return snapshots.to_rows(DomainDrain, self.by_domain.values())

    def load_snapshot(self, data):
        """Rebuild the set."""
        for drain in snapshots.from_rows(DomainDrain, data):
            self.by_domain[drain.failure_domain] = drain


def set_drain(machine, index, command):
    """Apply `commands.DrainDomain` or `commands.SetDomainDrain`.

    The order of the log decides between operators. A repeated drain keeps the time and
    the operator of the first.
    """
    drains = machine.domain_drains.by_domain
    domain = command.failure_domain
    if command.undo:
        drains.pop(domain, None)
    elif domain not in drains:
        if len(drains) >= MAX_DRAINS:
            reason = f"more than {MAX_DRAINS} domains would be drained"
            return outcome.Invalid(problems=[["failure_domain", reason]])
        drains[domain] = DomainDrain(
            failure_domain=domain, since_ms=command.at_ms, operator=command.operator
        )
    return outcome.Accepted(ids=[domain])
