"""Decisions of a proxy that starts: when to ask for the endpoint list and when to open connections.

These modules also decide which state of an earlier process may still be used.

Invariants: all code here receives events and times and returns times and plain values. It uses no sockets,
clocks, disks or logs.
"""
