"""Entry point of `python -m calicofall`."""

import signal
import sys

from calicofall.openssl import skip_openssl

if __name__ == "__main__":
    # SIGHUP and SIGTERM are blocked until the proxy has installed handlers: without this, a signal that
    # arrives during the imports would end the process. All other commands unblock them immediately.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})
    if sys.argv[1:2] in ([], ["serve"]):  # other commands may load libraries that need OpenSSL
        skip_openssl()

from calicofall.cli.main import main

if __name__ == "__main__":
    sys.exit(main(prog_name="calicofall"))
