"""Guards the policies: learned models, preemption, quarantine and rate limits."""

import math
import random

import pytest

from sardinegauge.links import messages
from sardinegauge.scheduling import (
    estimates,
    interference,
    pacing,
    placement,
    preemption,
    quarantine,
    reasons,
    scheduler,
)
from tests import schedulerdriver


def test_interference_tells_harmful_from_harmless_groups():
    """A model that attributes slow-downs to all groups alike cannot rank workers."""
    model, draw = interference.Model(), random.Random(1)
    for second in range(300):
        mix = {"bad": draw.choice((0.0, 0.4)), "good": draw.choice((0.0, 0.4))}
        p99_ms = 20 * (1 + 4 * mix["bad"]) * draw.lognormvariate(0, 0.15)
        model.observe(second * 1000, "shop", 5, p99_ms, 500, mix)
    assert model.effect("shop", "bad", 5) > 1.0
    assert model.effect("shop", "good", 5) < 0.2
    assert math.exp(model.base("shop", 5)) == pytest.approx(20, rel=0.15)


def test_interference_shrinks_to_the_group_and_decays_to_the_prior():
    """An unmeasured pair needs an estimate, and old measurements must decay."""
    model = interference.Model()
    for second in range(200):
        share = 0.5 * (second % 2)
        model.observe(second * 1000, "shop", 5, 20 * (1 + 6 * share), 500, {"g": share})
    learned = model.effect("shop", "g", 5)
    other = model.effect("other", "g", 5)
    assert interference.PRIOR_EFFECT < other < learned
    later_ms = 200_000 + 10 * interference.HALF_LIFE_MS
    model.observe(later_ms, "shop", 6, 20.0, 500, {"g": 0.006})
    assert model.effect("shop", "g", 5) < learned * 0.6


def slow_fleet(preemption_policy, seconds, p99_ms, cores=lambda second: 4.0):
    """Run a service beside a batch task of four cores; return driver and ids."""
    driver = schedulerdriver.Driver(preemption_policy=preemption_policy)
    driver.register("w1", room={"cores": 8.0})
    driver.apply_as_operator(
        "DeclareService",
        name="shop",
        tenant="ops",
        replicas=1,
        cores=1.0,
        memory_mb=10,
    )
    batch = driver.submit(cores=4.0, run_time_s=9000.0) + ".0"
    driver.tick(2)
    replica = driver.machine.services.by_name["shop"].task_ids[0]
    group = ("irbid", "sweep")
    for turn in range(50):
        mix, known_ms = ({}, 10.0) if turn % 2 else ({group: 0.5}, 300.0)
        driver.state.model.observe(0, "shop", 7, known_ms, 500, mix)
    for second in range(seconds):
        held = driver.machine.workers.by_upstream["w1"].task_ids
        phases = {id: {"phase": "running", "cores": cores(second)} for id in held}
        now_p99_ms = p99_ms(second, driver.state.throttle_by_task.get(batch, 1.0))
        load = messages.ServiceLoad(service="shop", requests=120, p99_ms=now_p99_ms)
        driver.send_heartbeat(phases=phases, loads=[load], room={"cores": 8.0})
        driver.tick(10)
    return driver, batch, replica


def test_short_spikes_change_nothing():
    """Without hysteresis, every latency spike would throttle or evict a task."""
    driver, batch, _ = slow_fleet(
        preemption.ThrottleFirst(),
        60,
        lambda second, _: 300.0 if second % 12 == 0 else 10.0,
        lambda second: 4.0 if second % 12 == 0 else 0.02,
    )
    assert driver.task(batch).state == "running"
    assert batch not in driver.state.throttle_by_task


def test_evictions_are_bounded_per_minute():
    """A lasting slow-down must not evict one task after another."""
    driver = schedulerdriver.Driver(preemption_policy=preemption.EvictLargest())
    policy = {"policy": {"evictions_per_minute": 4}}
    driver.apply_as_operator("SetConfiguration", base_version=0, document=policy)
    state = driver.state
    taken = 0
    for second in range(180):
        state.rate_limits.refill(second * 1000)
        while state.rate_limits.evictions.available():
            state.rate_limits.evictions.consume()
            taken += 1
    assert taken <= 4 * 3 + 1


def test_strong_interference_is_throttled_and_released_step_by_step():
    """Throttling comes before eviction, and ends when the service is fast again."""
    driver, batch, _ = slow_fleet(
        preemption.ThrottleFirst(), 25, lambda s, throttle: 10.0 * 30.0**throttle
    )
    assert driver.task(batch).state == "running"
    assert driver.state.throttle_by_task[batch] < 1.0
    orders = [
        d.directive.tasks for d in driver.sent_directives if not d.directive.sequence
    ]
    throttles = {o.throttle for table in orders for o in table if o.task == batch}
    assert min(throttles) < 1.0
    for _ in range(600):
        # The task became idle, and the service is fast again.
        load = messages.ServiceLoad(service="shop", requests=120, p99_ms=10.0)
        phases = {batch: {"phase": "running", "cores": 0.01}}
        driver.send_heartbeat(phases=phases, loads=[load], room={"cores": 8.0})
        driver.tick(10)
    assert batch not in driver.state.throttle_by_task


def test_reservations_follow_usage_and_a_task_moves_once():
    """A task with a wrong declared size must not be evicted again and again."""
    driver = schedulerdriver.Driver()
    driver.register("w1")
    id = driver.submit(cores=3.0, memory_mb=1000, run_time_s=9000.0) + ".0"
    other = driver.submit(cores=1.0, memory_mb=2900, run_time_s=9000.0) + ".0"
    driver.tick()
    driver.register("w2")
    evictions = 0
    for second in range(240):
        driver.send_heartbeat("w2")
        # The task outgrows the first worker, and later the second one as well.
        needed_mb = 3500 if second < 120 else 4500
        for known, cores, memory_mb in ((id, 1.0, needed_mb), (other, 0.9, 2900)):
            if driver.task(known).state in ("assigned", "running"):
                usage = {"cores": cores, "memory_mb": memory_mb, "progress": 0.1}
                driver.report_phase("running", known, **usage)
            elif driver.task(known).state == "evicting":
                evictions += known == id
                driver.report_phase("stopped", known)
        driver.tick(10)
    assert evictions == 1
    assert driver.task(id).upstream == "w2"
    demand = driver.state.demand_of(driver.task(id))
    assert demand.memory_mb >= 3500
    assert demand.cores < 3.0


def test_group_sizes_are_learned_for_new_tasks():
    """A wrong declared size must be corrected for the next tasks of the group."""
    sizes = estimates.Sizes()
    for _ in range(20):
        sizes.group(("irbid", "sweep")).cores.add(3.0)
    driver = schedulerdriver.Driver()
    driver.register("w1", room={"cores": 64.0})
    driver.state.sizes = sizes
    task = driver.task(driver.submit(cores=1.0) + ".0")
    assert 2.5 < driver.state.demand_of(task).cores < 4.0


def fail_everywhere(driver, is_bad, rounds=40):
    """Report placed tasks as running, or as failed where `is_bad(upstream, job)`."""
    for _ in range(rounds):
        driver.tick(2)
        for worker in list(driver.machine.workers.by_upstream.values()):
            for id in sorted(worker.task_ids):
                job = id.split(".")[0]
                phase = "failed" if is_bad(worker.upstream, job) else "running"
                driver.report_phase(phase, id)
        for upstream in ("w1", "w2", "w3", "w4"):
            driver.send_heartbeat(
                upstream,
                phases={
                    id: {"phase": "running"}
                    for id in driver.machine.workers.by_upstream[upstream].task_ids
                },
            )
        driver.tick(20)


def test_a_worker_that_fails_everything_is_quarantined_and_probed():
    """Jobs must not be failed because of one faulty worker."""
    driver = schedulerdriver.Driver(policy=placement.BestFit())
    driver.register("w1", "w2", "w3", "w4")
    jobs = [driver.submit(task_count=2) for _ in range(6)]
    fail_everywhere(driver, lambda upstream, job: upstream == "w1")
    workers = driver.machine.workers.by_upstream
    assert [u for u, w in workers.items() if w.is_quarantined] == ["w1"]
    assert {driver.machine.jobs.by_id[job].state for job in jobs} == {"running"}
    driver.submit(task_count=3)
    fail_everywhere(driver, lambda upstream, job: False, rounds=60)
    assert not workers["w1"].is_quarantined


def test_a_job_that_fails_everywhere_is_failed_itself():
    """Workers must not be quarantined because of one faulty job."""
    driver = schedulerdriver.Driver()
    driver.register("w1", "w2", "w3", "w4")
    good = [driver.submit(task_count=2) for _ in range(3)]
    bad = driver.submit(task_count=3)
    fail_everywhere(driver, lambda upstream, job: job == bad)
    assert driver.machine.jobs.by_id[bad].state == "failed"
    assert "failed on" in driver.machine.jobs.by_id[bad].reason
    assert not any(
        w.is_quarantined for w in driver.machine.workers.by_upstream.values()
    )
    assert {driver.machine.jobs.by_id[job].state for job in good} == {"running"}


def test_faulty_jobs_and_faulty_workers_are_told_apart():
    """Two broken jobs must not quarantine workers, nor broken workers fail a job."""
    outcomes = quarantine.OutcomeHistory()
    for upstream in ("w1", "w2", "w3"):
        for job in ("bad1", "bad2", "bad1"):
            outcomes.record_failure(0, upstream, job)
    assert not any(outcomes.is_worker_faulty(f"w{n}") for n in (1, 2, 3))
    assert outcomes.is_job_faulty("bad1") and outcomes.is_job_faulty("bad2")
    outcomes.quarantined = {"w1", "w2"}
    assert not outcomes.is_job_faulty("bad1")


def test_refill_after_a_lost_rack_is_ordered_and_paced():
    """The restarts after a loss must not delay urgent work or exceed the rate limit."""
    driver = schedulerdriver.Driver()
    policy = {"policy": {"starts_per_s": 5}}
    driver.apply_as_operator("SetConfiguration", base_version=0, document=policy)
    room = {"cores": 32.0, "memory_mb": 32_000, "tasks": 32}
    driver.register("w0", "w1", "w2", "w3", room=room)
    driver.submit(task_count=40, cores=0.5)
    driver.submit(task_count=6, cores=0.5, urgent=True)
    service = {"name": "shop", "tenant": "ops", "cores": 0.5, "memory_mb": 10}
    driver.apply_as_operator("DeclareService", replicas=6, **service)
    order, times_ms = [], []
    for step in range(500):
        before = len(driver.applied)
        if step % 10 == 0:
            # From the twentieth second on, only two of the workers send heartbeats.
            for upstream in ("w0", "w1") if step > 200 else ("w0", "w1", "w2", "w3"):
                driver.send_heartbeat(upstream, room=room)
        driver.tick()
        for command in driver.applied[before:]:
            for assignment in getattr(command, "assignments", ()):
                driver.report_phase("running", assignment.task)
                times_ms.append(driver.now_ms)
                if step > 300:
                    order.append(driver.task(assignment.task).task_class)
    assert {"urgent", "latency_critical", "batch"} == set(order)
    assert sorted(order, key=["urgent", "latency_critical", "batch"].index) == order
    for at_ms in times_ms:
        in_second = [t for t in times_ms if at_ms <= t < at_ms + 1000]
        assert len(in_second) <= 5 * (1 + pacing.START_BURST_S) + 1


def test_reasons_are_bounded():
    """Reasons of all tasks of a year would fill the leader's memory."""
    store = reasons.Reasons()
    for number in range(reasons.MAX_IDS + 500):
        for turn in range(20):
            store.record_decision(number, [f"t{number}"], "try {}", turn)
    assert len(store.reasons_by_id) == reasons.MAX_IDS
    assert len(store.lines(f"t{number}", number)) == reasons.MAX_REASONS_PER_ID
    store.expire(number + reasons.RETENTION_MS + 1)
    assert not store.reasons_by_id
    unknown = schedulerdriver.Driver().state
    assert scheduler.explain(unknown, "t0") == ["nothing is known of 't0'"]
