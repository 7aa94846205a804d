"""python -m calicofall.benchlink: many instances of the module, spoken to over standard input and output."""

import sys

from calicofall.benchlink.codec import Malformed
from calicofall.benchlink.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as fault:
        sys.exit(f"benchlink: {fault}")
