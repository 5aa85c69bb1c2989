"""Soak tests: the platform's roles as real processes under injected faults."""
