"""Guards leases, proposals in flight, directives and the order of pending work."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sardinegauge import commands
from sardinegauge.links import messages
from sardinegauge.scheduling import heartbeats, inflight, placement, scheduler
from tests import schedulerdriver

LOST_MS = heartbeats.LEASE_MS + heartbeats.MAX_CLOCK_DRIFT_MS


@given(st.lists(st.integers(0, 12_000), min_size=1, max_size=6))
@settings(max_examples=40, deadline=None)
def test_no_worker_is_lost_before_lease_and_drift(gaps_ms):
    """A worker declared lost too early would have its running tasks started again."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    last_ms = driver.now_ms
    for gap_ms in gaps_ms:
        until_ms = driver.now_ms + gap_ms
        while driver.now_ms < until_ms:
            driver.tick()
            is_lost = driver.machine.workers.by_upstream["w1"].is_lost
            assert is_lost == (driver.now_ms - last_ms >= LOST_MS)
        driver.send_heartbeat()
        driver.commit_all()
        last_ms = driver.now_ms


def test_new_leader_counts_leases_from_its_election():
    """Heartbeats received only by the old leader must not count as missing."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    driver.now_ms = 60_000
    driver.dispatch(scheduler.LeadershipLost(now_ms=driver.now_ms))
    driver.dispatch(scheduler.LeadershipGained(now_ms=driver.now_ms, term=2))
    driver.tick(109)
    assert not driver.machine.workers.by_upstream["w1"].is_lost
    driver.tick()
    assert driver.machine.workers.by_upstream["w1"].is_lost


def test_tasks_of_an_old_incarnation_wait_for_its_lease():
    """A restarted agent does not stop the worker, so its tasks may still run."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    id = driver.submit() + ".0"
    driver.tick()
    driver.report_phase("running", id)
    renewed_ms = driver.now_ms
    while driver.now_ms - renewed_ms < LOST_MS - 100:
        driver.tick()
        driver.send_heartbeat(incarnation="i2")
        driver.commit_all()
        assert driver.task(id).incarnation == "i1"
    driver.tick()
    assert driver.task(id).incarnation != "i1"
    assert driver.task(id).epoch >= 2
    driver.send_heartbeat(incarnation="i1")
    assert not driver.proposed
    assert "replaced" in driver.sent_directives[-1].directive.reason


@given(st.lists(st.sampled_from(["tick", "beat", "submit", "commit"]), max_size=40))
@settings(max_examples=60, deadline=None)
def test_nothing_in_flight_is_proposed_again(steps):
    """A repeated proposal fills the log while a quorum is slow."""
    driver = schedulerdriver.Driver()
    for step in ["beat", *steps]:
        if step == "tick":
            driver.tick(commit=False)
        elif step == "beat":
            held = driver.machine.workers.by_upstream.get("w1")
            ids = sorted(held.task_ids) if held else []
            driver.send_heartbeat(phases={id: {"phase": "running"} for id in ids})
        elif step == "submit":
            driver.submit()
        else:
            driver.commit_all()
        keys = [key for c in driver.proposed for key in inflight.keys_of(c)]
        assert len(keys) == len(set(keys))


def test_losses_and_phases_in_flight_are_proposed_once():
    """Ticks and heartbeats see a change again until its command is applied."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    id = driver.submit() + ".0"
    driver.tick()
    for _ in range(3):
        driver.send_heartbeat(phases={id: {"phase": "running"}})
    assert [type(c) for c in driver.proposed] == [commands.ReportTasks]
    driver.commit_all()
    driver.now_ms += LOST_MS
    driver.tick(20, commit=False)
    assert [type(c) for c in driver.proposed] == [commands.WorkerLost]
    driver.commit_all()
    # Records of replaced VMs would accumulate in the leader's memory.
    assert "w1" not in driver.state.capacity.by_upstream


def test_a_dropped_proposal_is_made_again():
    """A proposal that is lost before the log must not block its task for ever."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    id = driver.submit() + ".0"
    driver.tick(commit=False)
    assert driver.proposed.pop().assignments[0].task == id
    for _ in range(60):
        driver.send_heartbeat()
        driver.tick(commit=False)
    assert [c.assignments[0].task for c in driver.proposed] == [id]


def test_directive_lists_the_whole_table_with_actions():
    """A task missing from the table is stopped by its agent."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    kept, left = (driver.submit() for _ in range(2))
    driver.tick()
    driver.apply_as_operator("CancelJobs", jobs=[left])
    orders = {o.task: o.action for o in driver.sent_directives[-1].directive.tasks}
    assert orders == {f"{kept}.0": "run", f"{left}.0": "stop"}
    eviction = commands.Eviction(task=f"{kept}.0", epoch=1)
    driver.commit(commands.EvictTasks(evictions=[eviction]))
    orders = {o.task: o.action for o in driver.sent_directives[-1].directive.tasks}
    assert orders[f"{kept}.0"] == "evict"


SIZES = st.tuples(
    st.sampled_from([0.1, 0.5, 1.3, 2.0, 4.0]),
    st.integers(1, 4000),
    st.integers(1, 5),
    st.booleans(),
    st.booleans(),
)
POLICIES = st.sampled_from(
    [
        placement.RandomFit,
        placement.LeastLoaded,
        placement.BestFit,
        placement.InterferenceAware,
    ]
)


@given(st.lists(SIZES, max_size=12), POLICIES, st.lists(st.booleans(), min_size=12))
@settings(max_examples=60, deadline=None)
def test_planned_assignments_never_exceed_room(jobs, policy, commits):
    """The state machine must never have to skip an assignment for lack of capacity."""
    driver = schedulerdriver.Driver(policy=policy())
    driver.register("w1", "w2", "w3")
    upstreams = list(driver.machine.workers.by_upstream)
    for (cores, memory_mb, count, urgent, gang), commit in zip(jobs, commits):
        driver.submit(
            cores=cores, memory_mb=memory_mb, task_count=count, urgent=urgent, gang=gang
        )
        driver.tick(commit=False)
        for upstream in upstreams:
            # Refreshes the free capacity while assignments are in flight.
            driver.apply_as_operator("DrainUpstream", upstream=upstream, draining=False)
        driver.tick(commit=False)
        planned = [
            assignment
            for command in driver.proposed
            if isinstance(command, commands.AssignTasks)
            for assignment in command.assignments
        ]
        for worker in driver.machine.workers.by_upstream.values():
            for name in ("cores", "memory_mb", "accelerators", "connections"):
                taken = sum(
                    getattr(a, name) for a in planned if a.upstream == worker.upstream
                )
                assert taken + getattr(worker.reserved, name) <= getattr(
                    worker.room, name
                )
        if commit:
            driver.commit_all()


def test_a_gang_starts_whole_or_not_at_all():
    """A partly placed gang would occupy capacity without making progress."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    gang = driver.submit(task_count=5, gang=True)
    driver.tick()
    states = {driver.task(f"{gang}.{n}").state for n in range(5)}
    assert states == {"pending"}
    assert not driver.applied_of_type(commands.AssignTasks)
    driver.register("w2")
    driver.tick(10)
    states = {driver.task(f"{gang}.{n}").state for n in range(5)}
    assert states == {"assigned"}


def test_service_spreads_over_failure_domains():
    """The loss of one domain must leave replicas of every service."""
    driver = schedulerdriver.Driver()
    for upstream, domain in (("w1", "a"), ("w2", "a"), ("w3", "b"), ("w4", "c")):
        driver.register(upstream, domain=domain)
    driver.apply_as_operator(
        "DeclareService",
        name="shop",
        tenant="ops",
        replicas=3,
        cores=1.0,
        memory_mb=100,
    )
    driver.tick(5)
    used = {
        driver.machine.workers.by_upstream[driver.task(id).upstream].failure_domain
        for id in driver.machine.services.by_name["shop"].task_ids
    }
    assert used == {"a", "b", "c"}


def test_urgent_work_makes_room_with_the_cheapest_eviction():
    """Urgent work must not wait for batch work to end."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    batch = [
        driver.submit(cores=2.0, memory_mb=memory_mb, run_time_s=900.0) + ".0"
        for memory_mb in (1900, 100)
    ]
    driver.tick()
    driver.report_phase("running", *batch)
    urgent = driver.submit(cores=2.0, memory_mb=2000, urgent=True) + ".0"
    driver.tick(2)
    evicting = [id for id in batch if driver.task(id).state == "evicting"]
    assert evicting == batch[1:]
    driver.report_phase("stopped", *evicting, checkpoint="c")
    driver.tick()
    assert driver.task(urgent).state == "assigned"
    assert any(
        "makes room" in line for line in scheduler.explain(driver.state, batch[1])
    )


def test_room_made_for_urgent_work_is_not_taken_by_others():
    """Without a hold, the evicted task would be placed on the same worker again."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    batch = driver.submit(cores=4.0, memory_mb=4000, run_time_s=900.0) + ".0"
    driver.tick()
    driver.report_phase("running", batch)
    driver.submit(cores=4.0, memory_mb=100, urgent=True)
    driver.tick(2)
    small = driver.submit(cores=0.5) + ".0"
    driver.report_phase("stopped", batch)
    driver.state.pending.units_by_class["urgent"].popitem()[1].not_before_ms = 10**9
    driver.tick()
    assert driver.task(small).state == "pending"


def test_borrowed_quota_is_used_while_idle_and_taken_back():
    """Other tenants may use idle quota, but its owner must get it back."""
    driver = schedulerdriver.Driver()
    quotas = {"ann": {"cores": 2.0}, "bob": {"cores": 2.0}}
    driver.apply_as_operator(
        "SetConfiguration", base_version=0, document={"tenants": quotas}
    )
    driver.register("w1")
    job = driver.submit(tenant="ann", task_count=4, run_time_s=9_000.0)
    driver.tick()
    ids = [f"{job}.{n}" for n in range(4)]
    assert {driver.task(id).state for id in ids} == {"assigned"}
    driver.report_phase("running", *ids)
    owner = driver.submit(tenant="bob") + ".0"
    for _ in range(15):
        driver.tick(10)
        driver.report_phase("running", *(i for i in ids if driver.task(i).upstream))
        gone = [id for id in ids if driver.task(id).state == "evicting"]
        driver.report_phase("stopped", *gone)
    assert driver.task(owner).state == "assigned"
    assert sum(driver.task(id).state == "pending" for id in ids) == 1


def test_large_batch_task_does_not_starve_behind_small_ones():
    """Small tasks that fit at once would take every core that becomes free."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    running = []
    large = None
    for second in range(400):
        if second == 20:
            large = driver.submit(cores=3.5) + ".0"
        driver.submit(cores=1.0, run_time_s=10.0)
        driver.tick(10)
        held = sorted(driver.machine.workers.by_upstream["w1"].task_ids)
        running += [id for id in held if id not in running]
        done = [id for id in held if second - int(id.split(".")[0][4:]) % 7 > 0]
        driver.report_phase("running", *held)
        if second % 4 == 0 and done:
            driver.report_phase("finished", done[0])
        if large and driver.task(large).state == "running":
            break
    assert driver.task(large).state == "running"
    assert second < 20 + 300


def test_explain_tells_why_a_task_waits():
    """An operator must see which resource is short without reading the log."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    driver.submit(cores=4.0)
    id = driver.submit(cores=2.0) + ".0"
    driver.tick()
    text = "\n".join(scheduler.explain(driver.state, id))
    assert "1 short of cores" in text
    assert "no room for 2 cores" in text


def test_lost_and_draining_workers_get_no_tasks():
    """A draining worker must become empty; services lose one replica at a time."""
    driver = schedulerdriver.Driver()
    driver.register("w1", "w2")
    driver.apply_as_operator(
        "DeclareService",
        name="shop",
        tenant="ops",
        replicas=4,
        cores=0.5,
        memory_mb=10,
    )
    driver.tick(3)
    ids = driver.machine.services.by_name["shop"].task_ids
    driver.report_phase("running", *ids)
    driver.apply_as_operator("DrainUpstream", upstream="w1")
    for _ in range(30):
        driver.tick(10)
        leaving = [id for id in ids if driver.task(id).state == "evicting"]
        assert len(leaving) <= 1
        driver.report_phase("stopped", *leaving)
        driver.tick()
        started = [id for id in ids if driver.task(id).state == "assigned"]
        driver.report_phase("running", *started)
        load = messages.ServiceLoad(service="shop", requests=100, p99_ms=5.0)
        driver.send_heartbeat("w1", loads=[load])
        driver.send_heartbeat("w2")
        driver.commit_all()
    assert {driver.task(id).upstream for id in ids} == {"w2"}
