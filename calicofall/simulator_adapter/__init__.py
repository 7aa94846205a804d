"""Runs many router instances in one process, over the simulator's protocol on standard input and output."""
