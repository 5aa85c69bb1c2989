"""The agreed log of a group of replicas, and how it is stored."""
