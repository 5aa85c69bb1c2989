"""``make soak SEED=n``: the platform's roles as real processes under faults.

    python -m tests.soak [--seed N] [--seconds S] [--seeds COUNT]

Faults come from outside: signals stop, pause, kill and restart processes, disks are
emptied, minions crash and come back under their id, and a loopback proxy between each
agent and its minion harms connections. The promises are checked from what clients and
minions see.
"""

import sys

from tests.soak import runs

if __name__ == "__main__":
    sys.exit(runs.main())
