"""Tenants: what their tasks hold, against the quotas of the configuration."""

from sardinegauge import record

MICROCORES_PER_CORE = 1_000_000
"""Sums of cores are kept in integers: sums of floats depend on their order, and two
replicas that added in a different order would differ."""


class Usage(record.Record):
    """What the tasks of one tenant hold, those still stopping included.

    `microcores` is in millionths of a core, `memory_mb` in MB. `placed` counts tasks
    at an upstream, `pending` those that wait for one.
    """

    __slots__ = ("microcores", "memory_mb", "accelerators", "placed", "pending")
    _defaults = dict.fromkeys(__slots__, 0)

    @property
    def cores(self):
        """Return the reserved cores."""
        return self.microcores / MICROCORES_PER_CORE

    def add(self, task, sign):
        """Count a placed task's reservation in (`sign` 1) or out (-1)."""
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
    """Return a tenant's table in the configuration; empty without one."""
    return machine.configuration.document.get("tenants", {}).get(name, {})


def names(machine):
    """Return the sorted names of tenants with a quota or with tasks."""
    configured = machine.configuration.document.get("tenants", {})
    return sorted({*configured, *machine.tasks.usage_by_tenant})
