"""The upstreams an entry knows: directory, links, load and ejection of outliers."""

# Half of what other entries sent has ended after about this time, so their share of a
# reported load is halved for each such interval.
LOAD_HALF_LIFE_MS = 500
# Failures in a row that eject an upstream. Five lie beyond chance at an error rate
# below 20%.
EJECT_AFTER_FAILURES = 5
EJECT_BASE_MS = 5_000
EJECT_MAX_MS = 60_000
# A refusal while draining counts until the directory confirms it or this time passes.
LEAVING_MS = 5_000


class Upstream:
    """One upstream as this entry sees it.

    Loads are numbers of requests. `connections` is the most the upstream takes.
    """

    __slots__ = (
        "address",
        "connections",
        "ejected_until_ms",
        "ejections",
        "failures",
        "incarnation",
        "is_draining",
        "leaving_until_ms",
        "linked_incarnation",
        "name",
        "others",
        "others_at_ms",
        "own",
        "services",
    )

    def __init__(self, name):
        self.name = name
        self.address = ""
        self.incarnation = ""
        self.linked_incarnation = ""
        self.services = ()
        self.connections = 1
        self.is_draining = False
        self.leaving_until_ms = 0
        self.own = 0
        self.others = 0
        self.others_at_ms = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0

    def load(self, now_ms):
        """Return the expected share of its connections that are busy.

        The requests of this entry are known; those of other entries are taken from
        the last report and fade with its age.
        """
        age_ms = max(0, now_ms - self.others_at_ms)
        others = self.others * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
        return (self.own + others) / self.connections

    def report(self, in_flight, now_ms):
        """Take note of the load that a response carried."""
        self.others = max(0, in_flight - self.own)
        self.others_at_ms = now_ms

    def succeed(self):
        """Take note of a response."""
        self.failures = 0
        self.ejections = 0

    def fail(self, now_ms):
        """Take note of a failure; a row of them ejects the upstream for a while."""
        self.failures += 1
        if self.failures >= EJECT_AFTER_FAILURES and now_ms >= self.ejected_until_ms:
            eject_ms = min(EJECT_BASE_MS << min(self.ejections, 8), EJECT_MAX_MS)
            self.ejected_until_ms = now_ms + eject_ms
            self.ejections += 1

    def is_usable(self, now_ms):
        """Tell whether the agent of the announced incarnation can be asked."""
        return (
            not self.is_draining
            and now_ms >= self.leaving_until_ms
            and self.linked_incarnation == self.incarnation != ""
        )


class UpstreamTable:
    """All upstreams by name, and the names of those that serve each service."""

    def __init__(self):
        self.version = 0
        self.by_name = {}
        self.names_by_service = {}

    def apply(self, version, is_full, entries):
        """Apply a directory update.

        Parameters
        ----------
        version : int
            Version of the directory after the update; a lower one is ignored.
        is_full : bool
            Whether `entries` is the whole directory and not only what changed.
        entries : list of messages.Upstream
            The upstreams.

        Returns
        -------
        tuple of (list of str, list of str)
            Names of the upstreams to dial, and of those to hang up.
        """
        if version < self.version:
            return [], []
        self.version = version
        dialled, dropped = [], []
        if is_full:
            named = {entry.upstream for entry in entries}
            dropped += [name for name in self.by_name if name not in named]
        for entry in entries:
            if entry.removed:
                if entry.upstream in self.by_name:
                    dropped.append(entry.upstream)
            elif self._update(entry):
                dialled.append(entry.upstream)
        for name in dropped:
            del self.by_name[name]
        self._index()
        return dialled, dropped

    def _update(self, entry):
        """Update one upstream; tell whether its address is new."""
        upstream = self.by_name.setdefault(entry.upstream, Upstream(entry.upstream))
        is_moved = upstream.address != entry.address
        if is_moved:
            upstream.linked_incarnation = ""
        if upstream.incarnation != entry.incarnation:
            upstream.failures = upstream.ejected_until_ms = upstream.ejections = 0
        upstream.address = entry.address
        upstream.incarnation = entry.incarnation
        upstream.services = tuple(entry.services)
        upstream.connections = max(1, entry.connections)
        upstream.is_draining = entry.draining
        upstream.leaving_until_ms = 0
        return is_moved

    def _index(self):
        self.names_by_service = {}
        for name, upstream in sorted(self.by_name.items()):
            for service in upstream.services:
                self.names_by_service.setdefault(service, []).append(name)

    def candidates(self, service, now_ms, excluded=()):
        """Return the upstreams that may be chosen for a service.

        Ejected upstreams are left out unless more than half are ejected: then the
        fault lies more likely in the service than in single upstreams. Excluded ones
        are left out unless no other remains.
        """
        by_name = self.by_name
        usable = [
            by_name[name]
            for name in self.names_by_service.get(service, ())
            if by_name[name].is_usable(now_ms)
        ]
        healthy = [u for u in usable if now_ms >= u.ejected_until_ms]
        if 2 * len(healthy) < len(usable):
            healthy = usable
        if not excluded:
            return healthy
        return [u for u in healthy if u.name not in excluded] or healthy
