"""Tenants' quotas: who is within them, and who borrows idle quota of others."""

from sardinegauge.state import tenants

DIMENSIONS = ("cores", "memory_mb", "accelerators")


class PlannedUsage:
    """What assignments in flight will add to the usage of each tenant."""

    __slots__ = ("sums_by_tenant",)

    def __init__(self):
        self.sums_by_tenant = {}

    def add(self, tenant, planned, sign):
        """Count an assignment in (`sign` 1) or out (-1)."""
        sums = self.sums_by_tenant.setdefault(tenant, [0.0, 0, 0, 0])
        sums[0] += sign * planned.cores
        sums[1] += sign * planned.memory_mb
        sums[2] += sign * planned.accelerators
        sums[3] += sign
        if sums[3] <= 0:
            # Dropping empty sums also drops the rounding error of floats.
            del self.sums_by_tenant[tenant]


def standing(state, tenant):
    """Return whether a tenant is over its quota, and its largest share of it.

    A tenant without a quota owns nothing when others have quotas, so all its work is
    borrowed; when nobody has one, all tenants compete by what they use.
    """
    usage = tenants.usage(state.machine, tenant)
    planned = state.planned_usage.sums_by_tenant.get(tenant, (0.0, 0, 0, 0))
    used = (
        usage.cores + planned[0],
        usage.memory_mb + planned[1],
        usage.accelerators + planned[2],
    )
    configured = state.machine.configuration.document.get("tenants", {})
    if not configured:
        return False, used[0]
    quota = configured.get(tenant)
    if quota is None:
        return True, 1.0 + used[0]
    share = 0.0
    for name, amount in zip(DIMENSIONS, used):
        limit = quota.get(name)
        if limit is None:
            continue
        share = max(share, amount / limit if limit > 0 else (2.0 if amount else 0.0))
    return share >= 1.0, share


def would_borrow(state, tenant, demand):
    """Tell whether one more task of this demand exceeds the tenant's quota."""
    configured = state.machine.configuration.document.get("tenants", {})
    if not configured:
        return False
    quota = configured.get(tenant)
    if quota is None:
        return True
    usage = tenants.usage(state.machine, tenant)
    planned = state.planned_usage.sums_by_tenant.get(tenant, (0.0, 0, 0, 0))
    for number, name in enumerate(DIMENSIONS):
        limit = quota.get(name)
        amount = getattr(demand, name)
        if limit is None or not amount:
            continue
        if getattr(usage, name) + planned[number] + amount > limit + 1e-6:
            return True
    return False
