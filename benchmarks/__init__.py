"""Benchmarks with baselines for the figures of the documentation (``make measure``)."""
