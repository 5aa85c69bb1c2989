"""Upstreams known to the entry: directory, links, load and outlier ejection."""

# Half of the requests that other entries had in flight have ended after about this
# time, so their share of a reported load is halved for each such interval.
LOAD_HALF_LIFE_MS = 500
# Consecutive failures that eject an upstream. Five in a row are unlikely to be chance
# at an error rate below 20%.
EJECT_AFTER_FAILURES = 5
EJECT_BASE_MS = 5_000
EJECT_MAX_MS = 60_000
# An upstream that refuses a request as draining is treated as draining until the next
# directory update names it or this time has passed.
PRESUMED_DRAINING_MS = 5_000


class Upstream:
    """One upstream as seen by this entry.

    `own_in_flight` counts the requests that this entry has assigned to the upstream,
    including those whose claim is still proposed. `other_in_flight` counts those of
    all other entries at the last report. `max_connections` is the number of requests
    that the upstream serves at once.
    """

    __slots__ = (
        "address",
        "max_connections",
        "ejected_until_ms",
        "consecutive_ejections",
        "consecutive_failures",
        "incarnation",
        "is_draining",
        "presumed_draining_until_ms",
        "linked_incarnation",
        "name",
        "other_in_flight",
        "other_reported_at_ms",
        "own_in_flight",
        "services",
    )

    def __init__(self, name):
        self.name = name
        self.address = ""
        self.incarnation = ""
        self.linked_incarnation = ""
        self.services = ()
        self.max_connections = 1
        self.is_draining = False
        self.presumed_draining_until_ms = 0
        self.own_in_flight = 0
        self.other_in_flight = 0
        self.other_reported_at_ms = 0
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until_ms = 0

    def load(self, now_ms):
        """Return the expected share of the upstream's connections in use.

        The requests of this entry are counted exactly; those of other entries are
        taken from the last reported load and decay with its age.
        """
        age_ms = max(0, now_ms - self.other_reported_at_ms)
        other_in_flight = self.other_in_flight * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
        return (self.own_in_flight + other_in_flight) / self.max_connections

    def record_load(self, in_flight, now_ms):
        """Record the load that a response of the upstream reported."""
        self.other_in_flight = max(0, in_flight - self.own_in_flight)
        self.other_reported_at_ms = now_ms

    def record_success(self):
        """Record a successful response, which resets failures and ejections."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0

    def record_failure(self, now_ms):
        """Record a failure; `EJECT_AFTER_FAILURES` in a row eject the upstream.

        The ejection time doubles with each consecutive ejection, up to
        `EJECT_MAX_MS`.
        """
        self.consecutive_failures += 1
        if (
            self.consecutive_failures >= EJECT_AFTER_FAILURES
            and now_ms >= self.ejected_until_ms
        ):
            eject_ms = min(
                EJECT_BASE_MS << min(self.consecutive_ejections, 8), EJECT_MAX_MS
            )
            self.ejected_until_ms = now_ms + eject_ms
            self.consecutive_ejections += 1

    def is_usable(self, now_ms):
        """Tell whether the upstream accepts requests.

        The link must be open to the incarnation that the directory names, and the
        upstream must not be draining. Ejection is checked by `candidates`.
        """
        return (
            not self.is_draining
            and now_ms >= self.presumed_draining_until_ms
            and self.linked_incarnation == self.incarnation != ""
        )


class UpstreamTable:
    """All upstreams by name, and the upstream names of each service."""

    def __init__(self):
        self.version = 0
        self.by_name = {}
        self.names_by_service = {}

    def apply(self, version, is_full, updates):
        """Apply a directory update.

        Parameters
        ----------
        version : int
            Version of the directory after the update; a lower one is ignored.
        is_full : bool
            Whether `updates` is the whole directory rather than the changes to it.
        updates : list of messages.Upstream
            New, changed and removed upstreams.

        Returns
        -------
        tuple of (list of str, list of str)
            Names of the upstreams to dial, and of those to disconnect.
        """
        if version < self.version:
            return [], []
        self.version = version
        to_dial, to_disconnect = [], []
        if is_full:
            listed = {update.upstream for update in updates}
            to_disconnect += [name for name in self.by_name if name not in listed]
        for update in updates:
            if update.removed:
                if update.upstream in self.by_name:
                    to_disconnect.append(update.upstream)
            elif self._update(update):
                to_dial.append(update.upstream)
        for name in to_disconnect:
            del self.by_name[name]
        self._rebuild_service_index()
        return to_dial, to_disconnect

    def _update(self, update):
        """Update one upstream; return whether its address is new."""
        upstream = self.by_name.setdefault(update.upstream, Upstream(update.upstream))
        is_address_changed = upstream.address != update.address
        if is_address_changed:
            upstream.linked_incarnation = ""
        if upstream.incarnation != update.incarnation:
            upstream.consecutive_failures = upstream.ejected_until_ms = (
                upstream.consecutive_ejections
            ) = 0
        upstream.address = update.address
        upstream.incarnation = update.incarnation
        upstream.services = tuple(update.services)
        upstream.max_connections = max(1, update.connections)
        upstream.is_draining = update.draining
        upstream.presumed_draining_until_ms = 0
        return is_address_changed

    def _rebuild_service_index(self):
        self.names_by_service = {}
        for name, upstream in sorted(self.by_name.items()):
            for service in upstream.services:
                self.names_by_service.setdefault(service, []).append(name)

    def candidates(self, service, now_ms, excluded=()):
        """Return the upstreams of a service that may receive a request.

        Ejected upstreams are left out unless more than half are ejected: then the
        fault lies more likely in the service than in single upstreams. Upstreams
        named in `excluded` are left out unless no other one remains.
        """
        by_name = self.by_name
        usable = [
            by_name[name]
            for name in self.names_by_service.get(service, ())
            if by_name[name].is_usable(now_ms)
        ]
        healthy = [
            upstream for upstream in usable if now_ms >= upstream.ejected_until_ms
        ]
        if 2 * len(healthy) < len(usable):
            healthy = usable
        if not excluded:
            return healthy
        return [
            upstream for upstream in healthy if upstream.name not in excluded
        ] or healthy
