"""Workflows, which are jobs of several steps: submission, scheduling and execution."""
