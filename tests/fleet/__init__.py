"""Stubs, the launcher of local fleets, and the drivers behind make's targets."""
