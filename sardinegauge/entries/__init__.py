"""The entry process: callers' requests and operators' calls."""
