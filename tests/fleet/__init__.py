"""Stubs, the launcher of local fleets, and the programs behind make's targets."""
