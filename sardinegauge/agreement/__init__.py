"""Raft consensus of a group of replicas, and the storage of its log."""
