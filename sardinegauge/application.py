"""Base class of the processes: signals, timers and life-cycle hooks."""

import abc
import asyncio
import signal
import sys

from sardinegauge import background, clock, errors

DEFAULT_DRAIN_LIMIT_S = 30.0


class Application(abc.ABC):
    """One process of the system.

    Subclasses override the hooks. `on_start` opens sockets and files, `on_drain`
    finishes the work in flight, and `on_stop` closes everything that `on_start`
    opened. The first SIGTERM or SIGINT drains within `drain_limit_s`; a second one
    skips the rest of the drain but still runs `on_stop`, so files are closed cleanly.
    SIGHUP calls `on_reload`.
    """

    drain_limit_s = DEFAULT_DRAIN_LIMIT_S

    def __init__(self, name):
        self.name = name
        self.log = self.make_logger(name)
        self._stop_requested = None
        self._drain_skipped = None
        self._failure = None
        self._timers = []

    def make_logger(self, name):
        """Return the logger of this process."""
        # The agent uses `plainlogs` instead; importing structlog would cost it 5 MB.
        from sardinegauge import logs

        return logs.get_logger(name)

    @abc.abstractmethod
    async def on_start(self):
        """Open sockets and files and start timers."""

    async def on_drain(self):
        """Finish the work in flight; new work is already refused."""

    @abc.abstractmethod
    async def on_stop(self):
        """Close everything that `on_start` opened."""

    async def on_reload(self):
        """Reload the settings that can change at run time; log which need a restart."""
        self.log.warning("reload_ignored", reason="every setting needs a restart")

    def every(self, interval_s, callback):
        """Call `callback(now_ms)` at a fixed interval until the application stops."""
        self._timers.append(background.spawn(self._tick(interval_s, callback)))

    async def _tick(self, interval_s, callback):
        while True:
            await asyncio.sleep(interval_s)
            try:
                result = callback(clock.monotonic_ms())
                if asyncio.iscoroutine(result):
                    await result
            except errors.UserError:
                raise
            except Exception:
                # An exception in one tick must not end the timer.
                self.log.exception("timer_failed", callback=callback.__name__)

    def request_stop(self):
        """Start a graceful shutdown; a second call skips the rest of the drain."""
        if self._stop_requested.is_set():
            self._drain_skipped.set()
        self._stop_requested.set()

    def fail(self, error):
        """Stop without a drain, with the exit status of the `UserError` given."""
        self._failure = error
        self._drain_skipped.set()
        self._stop_requested.set()

    async def _main(self):
        self._stop_requested = asyncio.Event()
        self._drain_skipped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        loop.add_signal_handler(
            signal.SIGHUP, lambda: background.spawn(self.on_reload())
        )
        try:
            await self.on_start()
            self.log.info("started")
            await self._stop_requested.wait()
            self.log.info("draining", limit_s=self.drain_limit_s)
            await self._drain()
            if self._failure is not None:
                raise self._failure
        finally:
            for timer in self._timers:
                timer.cancel()
            await self.on_stop()
            self.log.info("stopped")

    async def _drain(self):
        drain = asyncio.ensure_future(self.on_drain())
        skipped = asyncio.ensure_future(self._drain_skipped.wait())
        await asyncio.wait(
            (drain, skipped),
            timeout=self.drain_limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in (drain, skipped):
            if not task.done():
                task.cancel()
        if drain.done() and not drain.cancelled() and drain.exception():
            self.log.error("drain_failed", error=str(drain.exception()))

    def run(self):
        """Run until stopped; return the exit status of the process."""
        try:
            asyncio.run(self._main())
        except errors.UserError as error:
            print(f"{self.name}: {error}", file=sys.stderr)
            return error.exit_status
        except OSError as error:
            print(f"{self.name}: {error}", file=sys.stderr)
            return 1
        return 0
