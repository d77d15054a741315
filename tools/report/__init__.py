"""Renders the JSON results of the benchmarks as a self-contained HTML page."""
