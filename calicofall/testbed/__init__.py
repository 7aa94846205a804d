"""The testbed: many proxy processes, emulated servers and clients, injected faults and an invariant checker.

Models of servers do no I/O; the emulated servers execute them on sockets, and the simulations in one process.

Invariants:
    A proxy that serves loads nothing of this package.
    The checker shares no code with the proxies that it checks but the parser of protocol frames.
"""
