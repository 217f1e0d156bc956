"""Run the command-line tool: ``python -m chivewall.cli``."""

from chivewall.cli.root import main

if __name__ == "__main__":
    main()
