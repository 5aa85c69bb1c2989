"""What a process takes from its callers: requests, connections and their limits."""
