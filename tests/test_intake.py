"""Tests of the decisions on requests and connections, without sockets."""

import pytest

from sardinegauge import metrics
from sardinegauge.intake import budget, connections, intake, intakemetrics, limits

LARGE = 40_000


def make_budget():
    return budget.Budget(100_000)


def make_intake(max_bytes=10 << 20, max_connections=10):
    """Return an intake whose time a test sets by `now_s`."""

    class TimedIntake(intake.Intake):
        now_s = 0.0

        def time_s(self):
            return self.now_s

    room = limits.Room(max_bytes=max_bytes, max_connections=max_connections)
    return TimedIntake(room, intakemetrics.IntakeMetrics(metrics.Metrics()))


class Owner:
    """Records why a connection was closed."""

    def __init__(self):
        self.reasons = []

    def close(self, reason):
        self.reasons.append(reason)


def test_body_without_progress_gives_way_before_one_that_arrives():
    """A slow honest body must outlive a larger stalled one, whichever is older."""
    held = make_budget()
    slow = held.reserve("slow", 30_000, 0).share
    held.reserve("stalled", LARGE, 0.5)
    slow.add_received(100, 2.5)
    admission = held.reserve("new", LARGE, 3)
    assert [share.owner for share in admission.evicted] == ["stalled"]
    assert held.reserved_bytes == 30_000 + LARGE


def test_body_that_drips_gives_way_before_one_that_arrives_faster():
    held = make_budget()
    drip = held.reserve("drip", 35_000, 0).share
    fast = held.reserve("fast", 35_000, 0).share
    for second in range(1, 4):
        drip.add_received(1, second)
        fast.add_received(5_000, second)
    evicted = held.reserve("new", 30_000, 3.5).evicted
    assert [share.owner for share in evicted] == ["drip"]


def test_no_body_gives_way_in_vain():
    """Ending bodies without making enough room would only add to the refused."""
    held = make_budget()
    held.reserve("stalled", 10_000, 0)
    whole = held.reserve("whole", 60_000, 0).share
    whole.is_receiving = False
    admission = held.reserve("new", 50_000, 5)
    assert (admission.share, admission.evicted, len(held)) == (None, [], 2)


def test_young_bodies_keep_their_share():
    held = make_budget()
    held.reserve("young", 70_000, 0)
    assert held.reserve("new", LARGE, 0.9).share is None


def test_small_requests_find_room_beside_large_ones():
    """A crowd of large bodies must not lock out an ordinary request."""
    held = make_budget()
    while held.reserve("large", 20_000, 0).share is not None:
        pass
    assert held.reserved_bytes <= budget.LARGE_SHARE * held.max_bytes
    assert held.reserve("small", 2_000, 0).share is not None


def test_growing_body_keeps_its_size_if_there_is_no_room():
    held = make_budget()
    share = held.reserve("grows", 30_000, 0).share
    held.reserve("other", 40_000, 0)
    assert held.resize(share, 50_000, 0.5).share is None
    assert share.reserved_bytes == 30_000
    assert held.resize(share, 35_000, 0.5).share is share
    held.release(share)
    held.release(share)
    assert held.reserved_bytes == 40_000


def test_idle_connections_close_for_new_ones_but_not_those_in_use():
    taken = make_intake(max_connections=2)
    idle, busy = Owner(), Owner()
    taken.open_connection(idle)
    in_use = taken.open_connection(busy)
    taken.end_body(taken.begin_request(in_use, 0))
    taken.now_s = 0.5
    assert taken.open_connection(Owner()) is None
    taken.now_s = 2
    assert taken.open_connection(Owner()) is not None
    assert (idle.reasons, busy.reasons) == (["too_many_connections"], [])
    taken.now_s = 100
    taken.close_expired()
    assert busy.reasons == []


@pytest.mark.parametrize(
    "received_bytes, late_s, reason",
    [(0, 61, "idle_timeout"), (10, 11, "header_timeout")],
)
def test_connections_close_at_the_limits_of_the_configuration(
    received_bytes, late_s, reason
):
    taken = make_intake()
    owner = Owner()
    connection = taken.open_connection(owner)
    if received_bytes:
        connection.add_received(received_bytes, 0)
    for second in range(1, late_s):
        taken.now_s = second
        taken.close_expired()
    assert owner.reasons == []
    taken.now_s = late_s
    taken.close_expired()
    assert owner.reasons == [reason]


def test_configured_limit_closes_a_stalled_body_sooner():
    taken = make_intake()
    owner = Owner()
    taken.begin_request(taken.open_connection(owner), 100)
    taken.configure(limits.RequestLimits(idle_timeout_ms=1500))
    for taken.now_s in (1, 2):
        taken.close_expired()
    assert owner.reasons == ["idle_timeout"]
    assert taken.limits.max_body_bytes == limits.DEFAULTS.max_body_bytes


def test_time_in_which_the_process_is_suspended_is_no_fault_of_callers():
    """A process that was frozen closed connections whose bytes it had not read."""
    taken = make_intake()
    owner = Owner()
    taken.open_connection(owner).add_received(10, 0)
    for taken.now_s in (1, 31, 32):
        taken.close_expired()
    assert owner.reasons == []


def test_few_fragmented_bodies_are_received_at_once():
    """Reading bodies in tiny chunks must leave the event loop to others."""
    taken = make_intake()
    owners = [Owner() for _ in range(connections.MAX_FRAGMENTED_BODIES + 1)]
    found = [taken.open_connection(owner) for owner in owners]
    for connection in found:
        taken.begin_request(connection, 0)
        connection.add_received(1000, 0)
        connection.chunk_count = connections.MIN_JUDGED_CHUNKS
    *admitted, refused = [taken.add_chunks(connection) for connection in found]
    assert admitted == [None] * connections.MAX_FRAGMENTED_BODIES
    assert (refused.status, refused.reason) == (503, "fragmented_body")
    taken.now_s = 2
    assert taken.add_chunks(found[-1]) is None
    assert [owner.reasons for owner in owners] == [["fragmented_body"], [], []]


def test_bodies_in_larger_chunks_are_not_fragmented():
    connection = connections.Connection(None, 0)
    connection.enter(connections.BODY, 0)
    connection.chunk_count = connections.MIN_JUDGED_CHUNKS
    connection.add_received(connections.MIN_BYTES_PER_CHUNK * 256, 0)
    assert not connection.is_fragmented


def test_streamed_body_that_was_passed_on_does_not_give_way():
    """Its receiver pauses it at times, and its request may have run."""
    taken = make_intake()
    request = taken.begin_request(taken.open_connection(Owner()), 0, max_held_bytes=100)
    assert taken.add_body(request, 50) is None
    assert request.share.is_receiving
    assert taken.add_body(request, 51) is None
    assert not request.share.is_receiving
    reserved = request.share.reserved_bytes
    taken.add_body(request, 1 << 30)
    assert request.share.reserved_bytes == reserved


def test_room_follows_the_memory_and_the_descriptors():
    small, large = limits.room(96, 512), limits.room(300, 4_100)
    assert small.max_bytes == 32 * limits.MIB
    assert small.max_connections == 512 - limits.RESERVED_DESCRIPTORS
    assert large.max_connections < 4_100
    assert limits.room(1, 1).max_bytes == limits.MIN_ROOM_BYTES
