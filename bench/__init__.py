"""Benches and simulations; benches run as ``python -m bench.NAME``."""
