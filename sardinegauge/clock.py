"""Clocks of the applications; reducers get their time in events."""

import time


def monotonic_ms():
    """Return milliseconds since boot, counting time in which the VM was suspended.

    CLOCK_MONOTONIC stands still while a VM is suspended, so a lease measured with it
    would outlive the scheduler's view of the lease.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms():
    """Return milliseconds since the epoch, for display and audit only."""
    return time.time_ns() // 1_000_000
