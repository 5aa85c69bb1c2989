"""Guards against an order of work that costs callers more than it must."""

import pytest

from benchmarks import hardload
from sardinegauge.workflows import ordering, queues, workflow
from sardinegauge.workflows import steps as steps_module

QUEUE = queues.Queue(
    name="q", host="", prefix="", pool="p", stretch=2.0, objective_ms=1000
)


class Command:
    """Fields of `commands.SubmitWorkflow`."""

    queue = "q"
    payload = ""
    repeats = first_at_ms = interval_ms = 0

    def __init__(self, id, at_ms):
        self.id = id
        self.at_ms = at_ms


def create(count=1, cpu_millis=1000, estimate_ms=1000, at_ms=0, **fields):
    step = steps_module.Step(
        count=count, cpu_millis=cpu_millis, estimate_ms=estimate_ms, **fields
    )
    return workflow.Workflow(Command("w", at_ms), [step])


def order_of(workflow_by_name, wall_ms, queue=QUEUE):
    """Return the names in order, after the ordering has seen all workflows."""
    order = ordering.ByWorthPerWork()
    key_by_name = {}
    for _ in range(2):
        for name, item in workflow_by_name.items():
            key_by_name[name] = order.key(item, queue, item.occurrence(0), wall_ms)
    return sorted(key_by_name, key=key_by_name.get)


def test_small_goes_before_large_but_large_keeps_its_worth():
    """Load pattern: many small workflows and few large ones.

    By remaining work alone, a large workflow went after all small ones although its
    callers lose several times as much by its delay.
    """
    items = {f"small{n}": create(2) for n in range(9)}
    items |= {"large": create(12), "huge": create(200)}
    found = order_of(items, 100)
    assert found[-2:] == ["large", "huge"]
    # Nearly done, the large one goes first.
    items["large"].occurrence(0).remaining_by_step[0] = 3
    assert order_of(items, 100)[0] == "large"


def test_late_work_goes_first_only_if_it_needs_far_less():
    items = {
        "in time": create(4, at_ms=9000),
        "late": create(4, at_ms=5000),
        "late, small": create(1, cpu_millis=100, at_ms=5000),
        "worthless": create(1, cpu_millis=100, at_ms=0),
    }
    assert order_of(items, 9500) == ["late, small", "in time", "late", "worthless"]


def test_undeclared_work_does_not_go_first_forever():
    """Load pattern: some callers declare no run times."""
    items = {"declared": create(2, at_ms=9000), "undeclared": create(2, estimate_ms=0)}
    assert order_of(items, 9500) == ["declared", "undeclared"]


def test_priority_of_the_queue_goes_before_worth():
    low = QUEUE.replace(name="low", priority=2)
    order = ordering.ByWorthPerWork()
    large, small = create(100), create(1)
    large_key = order.key(large, QUEUE, large.occurrence(0), 90_000)
    assert large_key < order.key(small, low, small.occurrence(0), 0)


class WrongByTen(hardload.HardLoad):
    """Each declared run time is wrong by a factor of ten, in either direction."""

    def declare(self, image, length_ms):
        return length_ms * self.random.choice((0.1, 10.0))


class TenTimesTooShort(hardload.HardLoad):
    def declare(self, image, length_ms):
        return 0.1 * length_ms


class TenTimesTooLong(hardload.HardLoad):
    def declare(self, image, length_ms):
        return 10 * length_ms


@pytest.mark.parametrize("load", [WrongByTen, TenTimesTooShort, TenTimesTooLong])
def test_estimates_wrong_by_ten_cost_no_more_than_before(load, monkeypatch):
    """Load pattern: bursts of best-effort work with declared run times off by ten."""
    monkeypatch.setattr(hardload, "ARRIVAL_PERIOD_MS", 60_000)
    earned = [
        hardload.earned_percent(
            [
                row
                for seed in range(2)
                for row in load(seed, create_ordering, True).run_load()
            ]
        )
        for create_ordering in (
            hardload.ORDERINGS["by work, declared"],
            hardload.ORDERINGS["by worth (chosen)"],
        )
    ]
    assert earned[1] >= earned[0]
