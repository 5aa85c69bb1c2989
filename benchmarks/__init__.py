"""Measurements behind the docs, each beside its baseline; run by make measure."""
