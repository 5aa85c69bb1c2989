"""Scheduling policies as pure functions: plain records in, decisions out."""
