"""Turns the benches' JSON into one HTML page that needs nothing else."""
