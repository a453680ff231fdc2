"""A layer-4 load balancer that keeps flows open through planned changes."""

__version__ = "0.1.0"
