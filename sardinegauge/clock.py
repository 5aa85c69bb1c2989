"""Clocks of the applications; reducers receive the time in their events."""

import time


def monotonic_ms():
    """Return milliseconds since boot, including time in which the VM was suspended.

    CLOCK_MONOTONIC does not advance while a VM is suspended, so a lease measured with
    it would end later on the VM than at the scheduler.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms():
    """Return milliseconds since the Unix epoch; the clock may jump."""
    return time.time_ns() // 1_000_000
