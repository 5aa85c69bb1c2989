"""Policies of the leader and the gateways under load, without I/O and commands."""
