"""Routing decisions: selection of endpoints, retries, limits and time-outs. Performs no I/O."""
