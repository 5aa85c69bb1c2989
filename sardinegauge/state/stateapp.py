"""Application of the state process: links, data folder, timers and status pages."""

import asyncio
import errno
import gc
import random
import time

from tornado import httpserver

from sardinegauge import (
    addresses,
    application,
    background,
    clock,
    errors,
    residentmemory,
    settings,
)
from sardinegauge.agreement import joining, raft, raftstate, storage, writer
from sardinegauge.links import link, messages
from sardinegauge.state import (
    eventtimes,
    replica,
    replicaeffects,
    replicalinks,
    reportqueue,
    statemetrics,
    statuspages,
)
from sardinegauge.workflows import leaderexchange

TICK_S = 0.02
# Interval of attempts to resume a replica that was suspended because its disk is full.
RESUME_INTERVAL_S = 0.5
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)
SCHEDULER_TICK_S = 0.1
# Delay that lets events which arrive together share one planning run.
PLAN_DELAY_S = 0.003
# Threshold of the youngest generation, in allocations minus deallocations.
GC_ALLOCATIONS = 50_000
HANDOVER_POLL_S = 0.02
# After a hand-over, entries (polling every 500 ms) and agents (every 1 s) may still
# send a request to the old leader. Its answer must name the new leader: a closed link
# would leave it unknown whether the request ran.
LINGER_S = 1.2

# A shorter silence would be as short as an election.
MIN_REPLACEMENT_S = 1.0

KNOWN_SETTINGS = [
    *settings.LINKS,
    *settings.PROCESS,
    settings.Setting(name="data_dir", kind="text"),
    settings.Setting(name="peers", kind="addresses", default=[]),
    settings.Setting(name="initial_members", kind="table", default={}),
    # Number of voters that the group maintains itself; 0 leaves members to operators.
    settings.Setting(name="replicas", kind="integer", default=0, minimum=0, maximum=99),
    settings.Setting(
        name="replacement_s",
        kind="number",
        default=raftstate.REPLACEMENT_MS / 1000,
        minimum=MIN_REPLACEMENT_S,
    ),
    settings.Setting(
        name="process_memory_mb",
        kind="integer",
        default=0,
        minimum=0,
        maximum=1_000_000,
        text="memory that the process may use, in MB; 0 without a limit",
    ),
]


def default_modules():
    """Return the modules that a replica uses in production."""
    from sardinegauge.scheduling import scheduler as job_scheduler
    from sardinegauge.state import directory, machine, queries

    return replica.Modules(
        machine=machine,
        queries=queries,
        directory=directory,
        scheduler=job_scheduler,
        has_workflows=True,
    )


class StateApplication(application.Application, link.Handler):
    """One replica as a process.

    The replica is suspended, and takes no part in its group, after an exception of the
    reducer and while its disk is full. `_generation` grows with each opened data folder
    and each suspension, so that later events of an earlier folder are recognized.

    Parameters
    ----------
    config : settings.Settings
        Values of `KNOWN_SETTINGS`.
    modules : replica.Modules
        The modules to use; tests pass their own.
    """

    def __init__(self, config, modules):
        super().__init__(f"state-{config.name}")
        self.config = config
        self.modules = modules
        self.address = config.advertise or config.listen
        self.drain_limit_s = config.drain_limit_s
        self.metrics = statemetrics.StateMetrics()
        self.reports = reportqueue.Intake(
            self._dispatch_report, self._on_report_replaced
        )
        self.event_times = eventtimes.EventTimes(clock.monotonic_ms())
        self.folder = None
        self.writer = None
        self.state = None
        self.server = None
        self.http = None
        self.hello = None
        self.max_batch_writes = writer.MAX_BATCH_WRITES
        self.replica_links = replicalinks.ReplicaLinks(self)
        self._exchanges_by_token = {}
        self._agent_links_by_upstream = {}
        self._next_token = 1
        self._generation = 0
        self._loop = None
        self._is_suspended = False
        self._joiner = joining.Joiner(self)

    # Life cycle.

    async def on_start(self):
        """Open the data folder, then accept links."""
        self._loop = asyncio.get_running_loop()
        self._open_replica()
        # Full collections traverse the whole machine and paused the leader of a large
        # fleet for up to 445 ms, while the machine holds few reference cycles.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_ALLOCATIONS, 50, 100)
        self.server = link.LinkServer(self, self.hello)
        host, port = addresses.split(self.config.listen)
        self.server.listen(port, host)
        self._listen_http()
        self.update_dialers()
        self.every(TICK_S, self._tick_raft)
        self.every(SCHEDULER_TICK_S, self._tick_scheduler)
        self.every(joining.INTERVAL_S, self._joiner.request_membership)

    def _open_replica(self):
        self.folder, stored = storage.open_folder(
            self.config.data_dir, self.config.name
        )
        self.log.info(
            "data_folder_opened",
            identity=self.folder.identity,
            term=stored.term,
            last_index=stored.log.last_index,
            snapshot_index=stored.snapshot.index,
        )
        self.hello = messages.Hello(
            role="state",
            name=self.config.name,
            identity=self.folder.identity,
            address=self.address,
            protocol=link.PROTOCOL,
        )
        self.state = replica.State(
            self.folder.identity,
            self.address,
            stored,
            self.modules,
            clock.monotonic_ms(),
            self.config.replicas,
            int(1000 * self.config.replacement_s),
            self.config.process_memory_mb << 20,
        )
        self._generation += 1
        self._start_writer()

    def _start_writer(self):
        generation = self._generation

        def on_durable(sequence):
            self._loop.call_soon_threadsafe(self._on_durable, generation, sequence)

        def on_failed(error):
            self._loop.call_soon_threadsafe(self._on_write_failed, generation, error)

        self.writer = writer.Writer(
            self.folder, on_durable, on_failed, self.max_batch_writes
        )
        self.writer.start()

    def _listen_http(self):
        if not self.config.metrics_listen:
            return
        host, port = addresses.split(self.config.metrics_listen)
        self.http = httpserver.HTTPServer(statuspages.build_application(self))
        self.http.listen(port, host)

    async def on_drain(self):
        """Transfer the leadership, so that no election timeout has to pass."""
        was_leader = self.state.raft.role == raftstate.LEADER
        while self.state.raft.role == raftstate.LEADER:
            self._dispatch(replica.StopRequested(now_ms=clock.monotonic_ms()))
            if len(self.state.raft.members) < 2:
                break
            await asyncio.sleep(HANDOVER_POLL_S)
        if was_leader:
            await asyncio.sleep(LINGER_S)
        while self._exchanges_by_token:
            await asyncio.sleep(HANDOVER_POLL_S)

    async def on_stop(self):
        """Close the links, complete pending writes and close the data folder."""
        if self.http is not None:
            self.http.stop()
        self.replica_links.stop()
        if self.server is not None:
            self.server.close_links()
        if self.writer is not None:
            self.writer.stop()
        if self.folder is not None:
            self.folder.close()

    # Events.

    def _dispatch(self, event):
        if self._is_suspended:
            return
        generation = self._generation
        started_s = time.perf_counter()
        try:
            effects = replica.reduce(self.state, event)
        except Exception as error:
            # The lost effects may include writes on which later writes depend, so
            # nothing may be acknowledged any more.
            self._is_suspended = True
            self.log.exception("reducer_failed", event_kind=type(event).__name__)
            self.fail(errors.UserError(f"internal error: {error!r}"))
            return
        for effect in effects:
            # An earlier effect may have replaced the data folder; the remaining ones
            # belong to the old identity.
            if generation == self._generation:
                _EFFECT_HANDLERS[type(effect)](self, effect)
        self.event_times.add(event, time.perf_counter() - started_s)

    def _tick_raft(self, now_ms):
        self._dispatch(raft.Tick(now_ms=now_ms, jitter=random.random()))

    def _tick_scheduler(self, now_ms):
        self._dispatch(
            replica.SchedulerTick(
                now_ms=now_ms,
                wall_ms=clock.wall_ms(),
                resident_bytes=self._resident_bytes(),
            )
        )
        self.metrics.update(self.state, self.writer)
        self.event_times.report(now_ms, self.metrics)

    def _resident_bytes(self):
        if not self.config.process_memory_mb:
            return 0
        return residentmemory.resident_bytes()

    def _on_durable(self, generation, sequence):
        # The writer of a closed data folder may still report.
        if generation == self._generation:
            now_ms = clock.monotonic_ms()
            self._dispatch(raft.Persisted(now_ms=now_ms, sequence=sequence))

    def _on_write_failed(self, generation, error):
        if generation != self._generation:
            return
        self.log.error("write_failed", error=str(error))
        if getattr(error, "errno", 0) in _DISK_FULL_ERRNOS:
            self._suspend_replica()
            background.spawn(self._resume_replica())
            return
        self.fail(errors.UserError(f"{self.config.data_dir}: {error}"))

    def _suspend_replica(self):
        """Close the data folder and all links, and discard unwritten state."""
        self._is_suspended = True
        self._generation += 1
        self.writer.stop()
        self.folder.close()
        # Callers see the closed link and turn to another replica at once.
        for open_link in list(self.server.links):
            open_link.close()

    async def _resume_replica(self):
        """Reload the replica from the data folder once the disk accepts writes."""
        while True:
            await asyncio.sleep(RESUME_INTERVAL_S)
            try:
                storage.check_writable(self.config.data_dir)
                self._open_replica()
            except OSError as error:
                self.log.info("data_folder_unwritable", error=str(error))
                continue
            except errors.UserError as error:
                self.fail(error)
                return
            self._is_suspended = False
            self._reconnect()
            return

    def on_open(self, link):
        """Record the links of replicas, over which messages are sent to them."""
        self.replica_links.add(link)

    def on_close(self, link):
        """Remove a closed link from the tables of replicas and agents."""
        self.replica_links.discard(link)
        for upstream, (_, agent_link) in list(self._agent_links_by_upstream.items()):
            if agent_link is link:
                del self._agent_links_by_upstream[upstream]

    def on_message(self, link, message):
        """Pass a message of another replica to the reducer."""
        if type(message) not in raft.MESSAGE_CLASSES:
            self.log.warning("unexpected_message", kind=type(message).__name__)
            return
        self._dispatch(raft.Received(now_ms=clock.monotonic_ms(), message=message))

    def on_exchange(self, exchange, message):
        """Pass a request to the reducer, whose `Reply` effect carries its token."""
        if self._is_suspended:
            exchange.link.close()
            return
        token = self._next_token
        self._next_token += 1
        self._exchanges_by_token[token] = exchange
        if isinstance(message, messages.Heartbeat):
            agent = (message.incarnation, exchange.link)
            self._agent_links_by_upstream[message.upstream] = agent
        elif isinstance(message, messages.WorkerReport) and message.worker:
            agent = (str(message.life), exchange.link)
            self._agent_links_by_upstream[message.worker] = agent
            self.reports.put(token, message)
            return
        self._dispatch_request(token, message)

    def _on_report_replaced(self, token):
        # Its sender has given it up, or waits for the later report as well.
        exchange = self._exchanges_by_token.pop(token, None)
        if exchange is not None:
            exchange.close()
        self.metrics.count_replaced_report()

    def _dispatch_report(self, token, message):
        # The data folder and all links may have been replaced meanwhile.
        if token in self._exchanges_by_token:
            self._dispatch_request(token, message)

    def _dispatch_request(self, token, message):
        self._dispatch(
            replica.RequestReceived(
                now_ms=clock.monotonic_ms(),
                wall_ms=clock.wall_ms(),
                token=token,
                message=message,
            )
        )

    # Effects.

    def _send(self, effect):
        self.replica_links.send(effect.member, effect.message)

    def _write(self, effect):
        self.writer.put(effect)

    def _reply(self, effect):
        exchange = self._exchanges_by_token.pop(effect.token)
        try:
            exchange.send(effect.message)
        except errors.LinkClosedError:
            pass  # The caller sees the closed link and asks another replica.
        exchange.close()

    def _record(self, effect):
        self.metrics.record(effect)

    def _push(self, effect):
        incarnation, agent_link = self._agent_links_by_upstream.get(
            effect.upstream, ("", None)
        )
        if incarnation != effect.incarnation or agent_link is None:
            return
        try:
            agent_link.send(effect.message)
        except errors.LinkClosedError:
            pass  # The reply to the agent's next heartbeat has the same directive.

    def _schedule_apply(self, effect):
        self._loop.call_soon(
            lambda: self._dispatch(replica.ApplyCommitted(now_ms=clock.monotonic_ms()))
        )

    def _on_members_changed(self, effect):
        members = self.members()
        self.log.info(
            "members_changed",
            voters=sum(member.is_voter for member in members),
            identities=",".join(member.identity for member in members),
        )
        self.update_dialers()

    def update_dialers(self):
        """Start and stop dialers: one for each peer in the settings and each member."""
        wanted = set(self.config.peers)
        wanted |= set(self._joiner.leader_addresses)
        wanted |= {member.address for member in self.state.raft.members.values()}
        wanted -= {self.address, self.config.listen}
        self.replica_links.dial(wanted, self.hello)

    def set_peers(self, addresses):
        """Replace the addresses of peers after a change of the settings file."""
        if addresses != self.config.peers:
            self.config.peers = list(addresses)
            self.update_dialers()

    def members(self):
        """Return the members of the group that this replica knows."""
        return list(self.state.raft.members.values())

    def _schedule_plan(self, effect):
        self._loop.call_later(
            PLAN_DELAY_S,
            lambda: self._dispatch(
                leaderexchange.PlanningDue(now_ms=clock.monotonic_ms())
            ),
        )

    def _rejoin(self, effect):
        """Set the outdated data folder aside and start with a new identity."""
        self.log.error(
            "data_folder_outdated",
            identity=self.folder.identity,
            acknowledged_index=effect.acknowledged_index,
            last_index=self.state.raft.log.last_index,
        )
        self.writer.stop()
        self.folder.set_aside()
        self.folder.close()
        self._open_replica()
        self._reconnect()

    def _reconnect(self):
        """Reopen all links, since their hello names the old identity."""
        self.server.hello = self.hello
        self._exchanges_by_token.clear()
        for open_link in list(self.server.links):
            open_link.close()
        self.replica_links.stop()
        self.update_dialers()


_EFFECT_HANDLERS = {
    raftstate.Send: StateApplication._send,
    raftstate.Persist: StateApplication._write,
    raftstate.InstallSnapshot: StateApplication._write,
    raftstate.SaveSnapshot: StateApplication._write,
    raftstate.MembersChanged: StateApplication._on_members_changed,
    raftstate.Rejoin: StateApplication._rejoin,
    replicaeffects.Reply: StateApplication._reply,
    replicaeffects.Push: StateApplication._push,
    replicaeffects.ScheduleApply: StateApplication._schedule_apply,
    leaderexchange.SchedulePlanning: StateApplication._schedule_plan,
    **dict.fromkeys(statemetrics.RECORDED_EFFECTS, StateApplication._record),
}
