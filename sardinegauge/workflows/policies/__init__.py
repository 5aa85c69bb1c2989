"""Decisions of the leader under load, pure code on plain records."""
