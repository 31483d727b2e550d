"""Main module of ``python -m toucanhold`` and of the binary."""

import sys

from toucanhold import core


def main() -> int:
    """Run the program and return its exit status."""
    return int(core.main())


if __name__ == "__main__":
    sys.exit(main())
