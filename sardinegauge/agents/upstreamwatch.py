"""Health check of the upstream: whether its HTTP server accepts connections."""

import asyncio

from sardinegauge import background, clock
from sardinegauge.links import httpcall

PROBE_INTERVAL_S = 1.0
# Probe interval after a refused connection, until the upstream counts as unreachable.
FAST_PROBE_INTERVAL_S = 0.25
# An upstream that refuses connections for this long is leaving.
UNREACHABLE_LIMIT_MS = 1000


class UpstreamWatch:
    """Probes the upstream and records the results of connections for requests.

    Parameters
    ----------
    pool : httpcall.Pool
        Connection pool, whose expired idle connections are closed with each probe.
    on_result : callable
        Called after each probe and each recorded connection.
    """

    def __init__(self, pool, on_result):
        self.pool = pool
        self.on_result = on_result
        self._refused_since_ms = None
        self._has_connected = False
        self._task = None

    async def start(self):
        """Probe once, then continue in the background."""
        await self._probe()
        self._task = background.spawn(self._run())

    def stop(self):
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()

    def is_unreachable(self, now_ms):
        """Return whether connections were refused for `UNREACHABLE_LIMIT_MS`."""
        since_ms = self._refused_since_ms
        return since_ms is not None and now_ms - since_ms >= UNREACHABLE_LIMIT_MS

    def record_result(self, is_reached):
        """Record whether a connection to the upstream could be made."""
        if is_reached:
            self._has_connected = True
            self._refused_since_ms = None
        elif self._refused_since_ms is None:
            # An upstream that was never reached counts as unreachable at once.
            self._refused_since_ms = clock.monotonic_ms() if self._has_connected else 0
        self.on_result()

    async def _run(self):
        while True:
            is_unreachable = self.is_unreachable(clock.monotonic_ms())
            is_unconfirmed = self._refused_since_ms is not None and not is_unreachable
            await asyncio.sleep(
                FAST_PROBE_INTERVAL_S if is_unconfirmed else PROBE_INTERVAL_S
            )
            await self._probe()

    async def _probe(self):
        self.pool.close_expired()
        try:
            stream = await httpcall.connect(self.pool.address)
        except httpcall.ConnectError:
            self.record_result(False)
        else:
            stream.close()
            self.record_result(True)
