"""Quotas of tenants: which are within their quota, and which borrow unused quota."""

from sardinegauge.state import tenants

RESOURCES = ("cores", "memory_mb", "accelerators")


class PlannedUsage:
    """Resources of the assignments in flight, by tenant."""

    __slots__ = ("sums_by_tenant",)

    def __init__(self):
        self.sums_by_tenant = {}

    def add(self, tenant, planned, sign):
        """Add an assignment for `sign` 1, or remove it for -1."""
        sums = self.sums_by_tenant.setdefault(tenant, [0.0, 0, 0, 0])
        sums[0] += sign * planned.cores
        sums[1] += sign * planned.memory_mb
        sums[2] += sign * planned.accelerators
        sums[3] += sign
        if sums[3] <= 0:
            # Also discards the rounding errors of the floats.
            del self.sums_by_tenant[tenant]


def quota_share(state, tenant):
    """Return whether a tenant is over its quota, and its used share of it.

    The share is the largest one of all resources. A tenant without a quota counts as
    over quota with all its work if other tenants have quotas. If no tenant has one, the
    share is the number of used cores, so that tenants compete by their usage.
    """
    usage = tenants.usage(state.machine, tenant)
    planned_cores, planned_memory_mb, planned_accelerators, _ = (
        state.planned_usage.sums_by_tenant.get(tenant, (0.0, 0, 0, 0))
    )
    used_cores = usage.cores + planned_cores
    used = (
        used_cores,
        usage.memory_mb + planned_memory_mb,
        usage.accelerators + planned_accelerators,
    )
    quota_by_tenant = state.machine.configuration.document.get("tenants", {})
    if not quota_by_tenant:
        return False, used_cores
    quota = quota_by_tenant.get(tenant)
    if quota is None:
        return True, 1.0 + used_cores
    share = 0.0
    for resource, amount in zip(RESOURCES, used):
        limit = quota.get(resource)
        if limit is None:
            continue
        share = max(share, amount / limit if limit > 0 else (2.0 if amount else 0.0))
    return share >= 1.0, share


def would_exceed_quota(state, tenant, demand):
    """Tell whether one more task of this demand would exceed the tenant's quota."""
    quota_by_tenant = state.machine.configuration.document.get("tenants", {})
    if not quota_by_tenant:
        return False
    quota = quota_by_tenant.get(tenant)
    if quota is None:
        return True
    usage = tenants.usage(state.machine, tenant)
    planned = state.planned_usage.sums_by_tenant.get(tenant, (0.0, 0, 0, 0))
    for position, resource in enumerate(RESOURCES):
        limit = quota.get(resource)
        amount = getattr(demand, resource)
        if limit is None or not amount:
            continue
        if getattr(usage, resource) + planned[position] + amount > limit + 1e-6:
            return True
    return False
