"""Watches whether the upstream's HTTP server takes connections."""

import asyncio

from sardinegauge import background, clock
from sardinegauge.links import httpcall

PROBE_INTERVAL_S = 1.0
# After a refused connection, until the upstream counts as unreachable.
QUICK_PROBE_S = 0.25
# An upstream that refuses connections for this long is leaving.
UNREACHABLE_LIMIT_MS = 1000


class UpstreamWatch:
    """Probes the upstream and notes the connections made for requests.

    Parameters
    ----------
    pool : httpcall.Pool
        Idle connections that are purged with each probe.
    on_note : callable
        Called after every result.
    """

    def __init__(self, pool, on_note):
        self.pool = pool
        self.on_note = on_note
        self._refused_since_ms = None
        self._was_reached = False
        self._task = None

    async def start(self):
        """Probe once, then go on in the background."""
        await self._probe()
        self._task = background.spawn(self._run())

    def stop(self):
        """End the probes."""
        if self._task is not None:
            self._task.cancel()

    def is_unreachable(self, now_ms):
        """Tell whether connections were refused for the limit."""
        since_ms = self._refused_since_ms
        return since_ms is not None and now_ms - since_ms >= UNREACHABLE_LIMIT_MS

    def note(self, is_reached):
        """Note the result of one connection."""
        if is_reached:
            self._was_reached = True
            self._refused_since_ms = None
        elif self._refused_since_ms is None:
            # An upstream that was never reached counts as leaving at once.
            self._refused_since_ms = clock.monotonic_ms() if self._was_reached else 0
        self.on_note()

    async def _run(self):
        while True:
            is_unreachable = self.is_unreachable(clock.monotonic_ms())
            is_doubtful = self._refused_since_ms is not None and not is_unreachable
            await asyncio.sleep(QUICK_PROBE_S if is_doubtful else PROBE_INTERVAL_S)
            await self._probe()

    async def _probe(self):
        self.pool.purge()
        try:
            stream = await httpcall.connect(self.pool.address)
        except httpcall.ConnectError:
            self.note(False)
        else:
            stream.close()
            self.note(True)
