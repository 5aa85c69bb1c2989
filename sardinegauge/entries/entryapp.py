"""The entry process: HTTP servers, links to agents, state client and timers."""

import argparse
import asyncio

from sardinegauge import application, background, clock, errors, logs, outcome, settings
from sardinegauge.entries import (
    entry,
    entryevents,
    entryhttp,
    entrymetrics,
    requestdispatcher,
)
from sardinegauge.intake import intake, intakemetrics, limits
from sardinegauge.links import link, messages, stateclient

POLL_INTERVAL_S = 0.5
DRAIN_CHECK_INTERVAL_S = 0.02

KNOWN_SETTINGS = [
    settings.Setting(name="name", kind="text", default="entry"),
    *settings.PROCESS,
    settings.Setting(
        name="drain_notice_s",
        kind="number",
        default=1.0,
        minimum=0,
        maximum=60,
        text="time in which requests are still taken after readiness is withdrawn",
    ),
    settings.Setting(name="state", kind="addresses"),
    settings.Setting(name="http_listen", kind="address"),
    settings.Setting(name="operator_tokens", kind="table", default={}),
    settings.Setting(
        name="process_memory_mb",
        kind="integer",
        default=0,
        minimum=0,
        maximum=1_000_000,
        text="memory that the process may use, in MB; 0 stands for 320",
    ),
    settings.Setting(
        name="max_concurrent", kind="integer", default=1000, minimum=1, maximum=100_000
    ),
    settings.Setting(
        name="max_concurrent_per_tenant",
        kind="integer",
        default=400,
        minimum=1,
        maximum=100_000,
    ),
    settings.Setting(
        name="retry_budget", kind="number", default=0.1, minimum=0, maximum=1
    ),
]


class EntryApplication(application.Application):
    """The entry process.

    Parameters
    ----------
    config : settings.Settings
        Validated settings, see `KNOWN_SETTINGS`.
    state_client : stateclient.StateClient
        Carries polls, proposals and queries; started and stopped by the application.
    """

    def __init__(self, config, state_client):
        super().__init__(config.name)
        self.config = config
        self.drain_limit_s = config.drain_limit_s
        self.metrics = entrymetrics.EntryMetrics()
        self.state = entry.State(
            config.max_concurrent, config.max_concurrent_per_tenant, config.retry_budget
        )
        self.client = state_client
        self.requests = requestdispatcher.RequestDispatcher(
            self.state, state_client, _hello(config), self.metrics, self.log
        )
        intake_metrics = intakemetrics.IntakeMetrics(self.metrics.metrics)
        self.intake = entryhttp.make_intake(
            limits.room(config.process_memory_mb), intake_metrics, listener="callers"
        )
        self.internal_intake = entryhttp.make_intake(
            entryhttp.INTERNAL_ROOM, intake_metrics, listener="internal"
        )
        self.router = None
        self.server = None
        self.metrics_server = None

    # Life cycle

    async def on_start(self):
        """Open the HTTP servers and start to poll the state process."""
        self.client.start()
        tokens = self.config.operator_tokens
        reserved = entryhttp.reserved_routes(self, self.client, tokens)
        self.router = entryhttp.Router(self, reserved)
        self.server = entryhttp.serve(
            self.router,
            self.config.http_listen,
            self.intake,
            entryhttp.max_held_bytes,
        )
        if self.config.metrics_listen:
            self.metrics_server = entryhttp.serve(
                reserved, self.config.metrics_listen, self.internal_intake
            )
        self.every(intake.EXPIRY_INTERVAL_S, self._close_expired)
        self.every(POLL_INTERVAL_S, self._on_poll_timer)
        background.spawn(self._poll())

    async def on_drain(self):
        """Withdraw readiness, then refuse new requests and finish those in flight."""
        self.requests.is_draining = True
        await asyncio.sleep(self.config.drain_notice_s)
        self.requests.handle(entryevents.DrainStarted(now_ms=clock.monotonic_ms()))
        self.server.stop()
        while self.requests.is_busy or self.router.is_flushing:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def on_stop(self):
        """Close servers, links and the state client."""
        for server in (self.server, self.metrics_server):
            if server is not None:
                server.stop()
                await server.close_all_connections()
        self.requests.stop()
        self.client.stop()

    def is_ready(self):
        """Tell whether a load balancer may send requests to this entry."""
        if self.requests.is_draining:
            return False
        return self.state.is_ready(clock.monotonic_ms())

    def _close_expired(self, now_ms):
        for each in (self.intake, self.internal_intake):
            each.close_expired()

    def _on_poll_timer(self, now_ms):
        self.requests.check_stalled_callers()
        background.spawn(self._poll())

    async def _poll(self):
        sent_ms = clock.monotonic_ms()
        answer = await self.client.poll(
            self.state.config_version, self.state.upstreams.version
        )
        if isinstance(answer, outcome.Answered):
            self.requests.handle(
                entryevents.PollAnswered(
                    now_ms=clock.monotonic_ms(), sent_ms=sent_ms, reply=answer.value
                )
            )


def _hello(config):
    return messages.Hello(role="entry", name=config.name, protocol=link.PROTOCOL)


def main():
    """Run the entry process with ``--settings FILE``."""
    parser = argparse.ArgumentParser(prog="sardinegauge-entry")
    parser.add_argument("--settings", required=True, metavar="FILE")
    arguments = parser.parse_args()
    try:
        config = settings.load(arguments.settings, KNOWN_SETTINGS)
    except errors.SettingsError as error:
        parser.exit(error.exit_status, f"sardinegauge-entry: {error}\n")
    logs.configure(config.log_level)
    client = stateclient.StateClient(config.state, _hello(config))
    raise SystemExit(EntryApplication(config, client).run())


if __name__ == "__main__":
    main()
