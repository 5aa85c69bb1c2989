"""Workflows: jobs of several steps, from the queue they arrive at to the last end."""
