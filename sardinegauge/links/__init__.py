"""Connections between processes and the messages that they carry."""
