"""The replicated state machine, and the process that runs a replica of it."""
