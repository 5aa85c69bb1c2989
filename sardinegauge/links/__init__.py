"""Connections between processes, and what goes over them."""
