"""Entry point of the simulator adapter, which communicates over standard input and output."""

import sys

from calicofall.simulator_adapter.codec import MalformedMessageError
from calicofall.simulator_adapter.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedMessageError as error:
        sys.exit(f"benchlink: {error}")
