"""What the proxies of a fleet agree on: versions of the settings, who belongs, what is known of each other.

Owns nothing itself. All that decides here is fed events and times, and gives back messages and plain values:
these modules must never touch a socket, a clock, a disk or a log.
"""
