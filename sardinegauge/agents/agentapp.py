"""The agent process: links, timers, connections to the upstream, and status pages."""

import asyncio
import os
import random
import sys
import time

from tornado import netutil

from sardinegauge import (
    addresses,
    application,
    background,
    clock,
    errors,
    plainlogs,
    plainmetrics,
    statusserver,
)
from sardinegauge.agents import (
    agent,
    agentevents,
    agentsettings,
    forwarding,
    hostedtask,
    requesttable,
    upstreamwatch,
    worker,
    workercalls,
)
from sardinegauge.links import dialers, httpcall, httpmessages, link, messages

# Each wake-up costs about 0.1 ms; leases and retries need no finer resolution.
TICK_S = 0.25
HEARTBEAT_TIMEOUT_S = agent.HEARTBEAT_TIMEOUT_MS / 1000
MIN_HEARTBEAT_INTERVAL_S = agent.MIN_HEARTBEAT_INTERVAL_MS / 1000
CLOSE_DELAY_S = 0.2
# Fraction of the drain limit after which the agent evicts tasks without an order.
FORCED_EVICTION_FRACTION = 0.6
# Number of replica addresses learned from other replicas that have a dialer.
MAX_LEARNED_ADDRESSES = 8


class AgentApplication(application.Application, link.Handler):
    """Owns the sockets of one agent and executes the effects of its reducer."""

    def __init__(self, loaded, path):
        super().__init__("agent")
        self.settings = loaded
        self.path = path
        self.drain_limit_s = loaded.drain_limit_s
        self.worker_calls = None
        if loaded.worker:
            self.worker_calls = workercalls.WorkerCalls(
                worker.HttpWorker(loaded.worker), self.handle, self.log
            )
        self.metrics = plainmetrics.Metrics()
        self.state = None
        self.hello = None
        self.server = None
        self.status_server = None
        self.dialer_by_address = {}
        self.forwarder_by_request = {}
        self.exchange_by_query = {}
        self.next_number = 1
        self.pool = httpcall.Pool(loaded.upstream, loaded.connections)
        self.upstream_watch = upstreamwatch.UpstreamWatch(
            self.pool, self.update_leaving
        )
        self.is_leaving = loaded.leaving
        self.drained = None
        self.change_timer = None
        self.request_times = self.metrics.histogram(
            "agent_request_seconds", "Time at the upstream.", ("tenant", "class")
        )
        self.task_times = self.metrics.histogram(
            "agent_task_seconds", "Time from start to end.", ("tenant", "class")
        )
        self.refusals = self.metrics.counter(
            "agent_refusals_total", "Requests refused.", ("reason",)
        )
        self.metrics.gauge(
            "configuration_version",
            "Configuration version in force.",
            lambda: self.state.config_version,
        )

    # Life cycle

    def make_logger(self, name):
        """See `application.Application`."""
        return plainlogs.get_logger(name)

    async def on_start(self):
        """Listen, and start the links to the replicas and the timers."""
        loaded = self.settings
        incarnation = f"{loaded.name}-{random.SystemRandom().getrandbits(48):012x}"
        address = loaded.advertise or loaded.listen
        identity = agentsettings.make_identity(loaded, incarnation)
        self.hello = messages.Hello(
            role="agent",
            name=loaded.name,
            identity=incarnation,
            address=address,
            protocol=link.PROTOCOL,
        )
        self.state = agent.State(
            identity,
            loaded.state,
            clock.monotonic_ms(),
            self.worker_calls is not None,
            loaded.queue,
        )
        self.server = link.LinkServer(self, self.hello)
        host, port = addresses.split(loaded.listen)
        self.server.add_sockets(netutil.bind_sockets(port, host))
        if loaded.metrics_listen:
            self.status_server = statusserver.StatusServer(
                {"/-/health": self.health_page, "/-/metrics": self.metrics_page}
            )
            host, port = addresses.split(loaded.metrics_listen)
            self.status_server.add_sockets(netutil.bind_sockets(port, host))
        for replica in loaded.state:
            self.get_dialer(replica)
        await self.upstream_watch.start()
        self.every(TICK_S, self.tick)

    async def on_stop(self):
        """Close all links and connections."""
        self.upstream_watch.stop()
        self.pool.close()
        if self.worker_calls is not None:
            self.worker_calls.worker.close()
        for dialer in self.dialer_by_address.values():
            dialer.stop()
        if self.server is not None:
            self.server.close_links()
        if self.status_server is not None:
            await self.status_server.close()

    # Events and effects

    def handle(self, event):
        """Apply one event to the state and execute the effects."""
        for effect in agent.reduce(self.state, event):
            self.execute(effect)
        if self.change_timer is None and agent.has_unsent_change(self.state):
            loop = asyncio.get_running_loop()
            self.change_timer = loop.call_later(
                MIN_HEARTBEAT_INTERVAL_S, self.send_change
            )

    def send_change(self):
        """Send a change that was held back by `MIN_HEARTBEAT_INTERVAL_S`."""
        self.change_timer = None
        self.tick(clock.monotonic_ms())

    def execute(self, effect):
        """Execute one effect; asynchronous effects run in the background."""
        method = _METHODS.get(type(effect))
        if method is not None:
            result = method(self, effect)
        else:
            result = self.worker_calls.execute(effect)
        if result is not None:
            background.spawn(result)

    def tick(self, now_ms):
        """Pass a timer event to the reducer."""
        self.handle(agentevents.Tick(now_ms=now_ms))

    # Links

    def get_dialer(self, address):
        """Return the dialer for a replica; it is created and started at first use."""
        dialer = self.dialer_by_address.get(address)
        if dialer is None:
            self.drop_oldest_dialer()
            dialer = dialers.Dialer(address, self, self.hello)
            self.dialer_by_address[address] = dialer
            dialer.start()
        return dialer

    def drop_oldest_dialer(self):
        """Stop the oldest dialer to a learned address if there are too many dialers."""
        if (
            len(self.dialer_by_address)
            < len(self.settings.state) + MAX_LEARNED_ADDRESSES
        ):
            return
        for address in self.dialer_by_address:
            if address not in self.settings.state:
                self.dialer_by_address.pop(address).stop()
                return

    def on_message(self, link, message):
        """Handle a directive pushed by a replica."""
        if isinstance(message, messages.Directive):
            address = self.get_dialed_address(link)
            if address:
                self.receive_directive(address, message)

    def get_dialed_address(self, link):
        """Return the address that was dialled for a link, or ``""`` if unknown."""
        for address, dialer in self.dialer_by_address.items():
            if dialer.link is link:
                return address
        return ""

    def receive_directive(self, address, message):
        """Pass a directive to the reducer."""
        self.handle(
            agentevents.DirectiveReceived(
                now_ms=clock.monotonic_ms(), address=address, directive=message
            )
        )

    def on_exchange(self, exchange, message):
        """Handle a request or a key query of an entry."""
        number = self.next_number
        self.next_number += 1
        now_ms = clock.monotonic_ms()
        if isinstance(message, httpmessages.RequestHead):
            forwarder = forwarding.RequestForwarder(
                exchange, message, lambda: self.abandon_request(number)
            )
            self.forwarder_by_request[number] = forwarder
            self.handle(
                agentevents.RequestArrived(now_ms=now_ms, request=number, head=message)
            )
            if number in self.forwarder_by_request:
                forwarder.start()
        elif isinstance(message, httpmessages.KeyQuery):
            self.exchange_by_query[number] = exchange
            self.handle(
                agentevents.KeyQueried(now_ms=now_ms, query=number, message=message)
            )
        else:
            exchange.close()

    async def send_heartbeat(self, effect):
        """Send a heartbeat and pass its answer to the reducer."""
        sequence = effect.heartbeat.sequence
        try:
            dialer = self.get_dialer(effect.address)
            if not dialer.is_open:
                raise errors.LinkClosedError("no link")
            answer = await dialer.link.request(effect.heartbeat, HEARTBEAT_TIMEOUT_S)
        except (errors.LinkClosedError, TimeoutError):
            self.handle(
                agentevents.HeartbeatFailed(
                    now_ms=clock.monotonic_ms(),
                    address=effect.address,
                    sequence=sequence,
                )
            )
            return
        if isinstance(answer, messages.Directive):
            self.receive_directive(effect.address, answer)

    # Requests

    def abandon_request(self, number):
        """Pass to the reducer that a request was abandoned."""
        self.handle(
            agentevents.RequestAbandoned(now_ms=clock.monotonic_ms(), request=number)
        )

    async def forward_request(self, effect):
        """Send an admitted request to the upstream and pass its end to the reducer."""
        number = effect.request
        forwarder = self.forwarder_by_request[number]
        started_s = time.perf_counter()
        verdict = forwarding.MAY_HAVE_RUN
        try:
            verdict = await forwarder.run(
                self.pool, self.response_head, self.state.may_serve
            )
            self.upstream_watch.record_result(True)
        except httpcall.ConnectError:
            if not forwarder.is_written:
                verdict = forwarding.NOT_RUN
            self.upstream_watch.record_result(False)
        finally:
            del self.forwarder_by_request[number]
            duration_s = time.perf_counter() - started_s
            head = forwarder.head
            kind = "idempotent" if head.idempotent else "non_idempotent"
            self.request_times.observe(duration_s, head.tenant, kind)
            self.handle(
                agentevents.RequestEnded(
                    now_ms=clock.monotonic_ms(),
                    request=number,
                    verdict=verdict,
                    duration_ms=duration_s * 1000,
                    status=forwarder.status,
                    headers=forwarder.headers,
                    body=forwarder.stored_body,
                )
            )

    def response_head(self, status, headers):
        """Return a response head with the current load of the agent."""
        return httpmessages.ResponseHead(
            status=status,
            headers=headers,
            in_flight=self.in_flight(),
            queued=len(self.state.admission.waiting),
        )

    def in_flight(self):
        """Return the number of admitted requests."""
        return len(self.state.admission.service_by_request)

    def refuse_request(self, effect):
        """Count a refusal and send it to the entry."""
        self.refusals.add(1, effect.reason)
        self.forwarder_by_request.pop(effect.request).refuse(
            effect.reason,
            effect.retry_after_ms,
            self.state.is_refusing_work,
            self.in_flight(),
        )

    def replay_request(self, effect):
        """Answer a repeated key with its stored response or with an abort."""
        forwarder = self.forwarder_by_request.pop(effect.request)
        if effect.entry is not None:
            forwarder.replay(effect.entry)
        else:
            forwarder.abort(effect.verdict, effect.reason)
            forwarder.close()

    def answer_key_query(self, effect):
        """Send the reply to a key query."""
        exchange = self.exchange_by_query.pop(effect.query)
        try:
            exchange.send(effect.reply)
        except errors.LinkClosedError:
            pass
        exchange.close()

    # Tasks

    def task_ended(self, effect):
        """Log and count the end of a task."""
        order = effect.order
        self.task_times.observe(
            effect.run_time_ms / 1000, order.tenant, order.task_class
        )
        self.log.info(
            "task_ended",
            task=order.task,
            epoch=order.epoch,
            phase=effect.phase,
            reason=effect.reason,
        )

    # Leaving

    def update_leaving(self):
        """Pass to the reducer that the upstream began or ceased to leave."""
        now_ms = clock.monotonic_ms()
        is_leaving = self.is_leaving or self.upstream_watch.is_unreachable(now_ms)
        if is_leaving != self.state.is_upstream_leaving:
            self.log.info("upstream_changed", leaving=is_leaving)
            self.handle(
                agentevents.UpstreamChanged(now_ms=now_ms, is_leaving=is_leaving)
            )

    async def on_reload(self):
        """Reload `leaving` from the settings file; other settings need a restart."""
        try:
            loaded = agentsettings.load(self.path)
        except errors.SettingsError as error:
            self.log.error("reload_failed", error=str(error))
            return
        self.is_leaving = loaded.leaving
        self.update_leaving()

    async def on_drain(self):
        """Refuse new work and wait until no request or task is left."""
        self.drained = asyncio.Event()
        now_ms = clock.monotonic_ms()
        wait_ms = int(self.drain_limit_s * FORCED_EVICTION_FRACTION * 1000)
        self.handle(
            agentevents.DrainRequested(now_ms=now_ms, evict_at_ms=now_ms + wait_ms)
        )
        await self.drained.wait()
        # Closing a socket with unread input resets the connection, and the peer could
        # lose the end of the last response.
        await asyncio.sleep(CLOSE_DELAY_S)

    def finish_drain(self, effect):
        """Let `on_drain` return."""
        self.drained.set()

    def log_configuration(self, effect):
        """Log that a new configuration is in force."""
        self.log.info("configuration_changed", version=effect.version)

    # Status pages

    def health_page(self):
        """Return the health page: status 200 if requests are accepted, else 503."""
        state = self.state
        if state.is_refusing_work:
            return 503, "text/plain", b"leaving\n"
        if not state.may_serve(clock.monotonic_ms()):
            return 503, "text/plain", b"no confirmed configuration\n"
        return 200, "text/plain", b"ok\n"

    def metrics_page(self):
        """Return the metrics page."""
        return 200, plainmetrics.CONTENT_TYPE, self.metrics.page()


_METHODS = {
    agentevents.SendHeartbeat: AgentApplication.send_heartbeat,
    requesttable.ForwardRequest: AgentApplication.forward_request,
    requesttable.RefuseRequest: AgentApplication.refuse_request,
    requesttable.ReplayRequest: AgentApplication.replay_request,
    requesttable.AnswerKeyQuery: AgentApplication.answer_key_query,
    agentevents.ConfigurationChanged: AgentApplication.log_configuration,
    agentevents.Drained: AgentApplication.finish_drain,
    hostedtask.TaskEnded: AgentApplication.task_ended,
}


def main():
    """Run the agent with the file given by ``--settings``; return the exit status."""
    try:
        path = agentsettings.parse_path(sys.argv[1:])
        loaded = agentsettings.load(path)
    except errors.UserError as error:
        print(f"sardinegauge-agent: {error}", file=sys.stderr)
        return error.exit_status
    plainlogs.configure(loaded.log_level)
    return AgentApplication(loaded, os.path.abspath(path)).run()


if __name__ == "__main__":
    sys.exit(main())
