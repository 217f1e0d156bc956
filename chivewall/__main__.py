"""Run the daemon: ``python -m chivewall SETTINGS``."""

from chivewall.daemon import main

if __name__ == "__main__":
    main()
