"""Tests of the bounds of the table of request keys."""

from sardinegauge.agents import requestkeys
from sardinegauge.links import httpmessages

HEADERS = [httpmessages.Header(name="Content-Type", value="text/plain")]


def finished(keys, index, size):
    keys.begin(index, "karri", f"k{index}", index)
    keys.finish(index, "karri", f"k{index}", index, 200, HEADERS, b"x" * size)


def test_stored_responses_stay_within_their_bound():
    """Guards against a table that retains all responses of the retention period."""
    keys = requestkeys.RequestKeys()
    for index in range(1, 101):
        finished(keys, index, requestkeys.MAX_BODY_BYTES)
    assert keys.stored_bytes <= requestkeys.MAX_STORED_BYTES
    oldest, newest = (keys.get("karri", f"k{n}", n) for n in (1, 100))
    assert (oldest.state, oldest.is_body_kept) == ("finished", False)
    assert len(newest.body) == requestkeys.MAX_BODY_BYTES
    keys.expire(200 + requestkeys.RETENTION_MS)
    assert (keys.stored_bytes, keys.by_key) == (0, {})


def test_a_key_dropped_for_room_does_not_run_again():
    """Guards against a second run of a key that was dropped from a full table."""
    keys = requestkeys.RequestKeys(max_keys=2)
    for index in (1, 2, 3):
        finished(keys, index, 1)
    assert keys.begin(4, "karri", "k1", 1) == "cut"
    assert keys.fence(4, "karri", "k1", 1) == "cut"
    assert keys.begin(4, "karri", "k4", 4) == ""


def test_running_keys_are_never_dropped():
    """Guards against a second run of a request that is still running."""
    keys = requestkeys.RequestKeys(max_keys=1)
    keys.begin(0, "karri", "k1", 1)
    finished(keys, 2, 1)
    keys.expire(10 * requestkeys.RETENTION_MS)
    assert keys.begin(5, "karri", "k1", 1) == "running"
