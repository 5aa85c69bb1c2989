"""Tenants: resource usage of their tasks, and quotas of the configuration."""

from sardinegauge import record

MICROCORES_PER_CORE = 1_000_000
"""Cores are summed as integers: a sum of floats depends on the order of additions, so
replicas that add in different orders would differ."""


class Usage(record.Record):
    """Reservations of the tasks of one tenant, including tasks still stopping.

    `microcores` is in millionths of a core, `memory_mb` in MB. `placed` counts the
    tasks placed at an upstream, `pending` the tasks that wait for a placement.
    """

    __slots__ = ("microcores", "memory_mb", "accelerators", "placed", "pending")
    _defaults = dict.fromkeys(__slots__, 0)

    @property
    def cores(self):
        """Return the reserved cores."""
        return self.microcores / MICROCORES_PER_CORE

    def add(self, task, sign):
        """Add (`sign` 1) or subtract (-1) the reservation of a placed task."""
        self.microcores += sign * round(task.cores * MICROCORES_PER_CORE)
        self.memory_mb += sign * task.memory_mb
        self.accelerators += sign * task.accelerators
        self.placed += sign

    @property
    def is_empty(self):
        """Tell whether the tenant has neither placed nor pending tasks."""
        return not self.placed and not self.pending


def usage(machine, name):
    """Return the usage of one tenant; an empty one if it has no tasks."""
    return machine.tasks.usage_by_tenant.get(name) or Usage()


def quota(machine, name):
    """Return the quota of a tenant in the configuration, a dict; empty if unset."""
    return machine.configuration.document.get("tenants", {}).get(name, {})


def names(machine):
    """Return the sorted names of tenants with a quota or with tasks."""
    configured = machine.configuration.document.get("tenants", {})
    return sorted({*configured, *machine.tasks.usage_by_tenant})
