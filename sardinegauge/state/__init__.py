"""The replicated state machine and the process that runs one replica of it."""
