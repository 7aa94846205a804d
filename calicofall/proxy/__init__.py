"""The proxy process: its sockets, timers and files around the router."""
