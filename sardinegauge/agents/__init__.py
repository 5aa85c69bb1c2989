"""The agent process: forwards requests to one upstream and runs its tasks."""
