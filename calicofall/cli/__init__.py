"""The command line, with one module per group of commands."""
