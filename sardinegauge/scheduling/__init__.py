"""The leader's scheduler of jobs and services."""
