"""State that the proxies of a fleet agree on or exchange: settings versions, membership, quotas and evidence.

The modules of this package perform no I/O. They are given events and times, and return messages, values and
the time of their next call. Sockets, clocks, files and logs belong to `calicofall.proxy`.
"""
