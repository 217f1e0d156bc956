"""``chivewall``: the operators' command-line tool."""

from chivewall.cli.root import main

__all__ = ["main"]
