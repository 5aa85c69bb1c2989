"""The console script of the agent, which restarts itself under interpreter flags.

Without docstrings and debug ranges the agent holds about 1 MB less, which its budget
of 32 MB needs, and a console script cannot carry flags. The process replaces its own
program; it starts no other process.
"""

import os
import sys

FLAGS = ("-OO", "-X", "no_debug_ranges")


def main():
    """Run `sardinegauge.agentapp` with `FLAGS` in place of this program."""
    arguments = [*FLAGS, "-m", "sardinegauge.agentapp", *sys.argv[1:]]
    os.execv(sys.executable, [sys.executable, *arguments])


if __name__ == "__main__":
    main()
