"""The soak of the platform's roles under faults from outside."""
