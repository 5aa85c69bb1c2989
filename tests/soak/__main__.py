"""``make soak SEED=n``: the platform's roles as real processes under faults.

    python -m tests.soak [--seed N] [--seconds S] [--seeds COUNT]

Faults are injected from outside the processes: signals stop, pause, kill and restart
processes, data folders are removed, minions crash and come back under the same or a new
id, and a loopback proxy between each agent and its minion disturbs connections. The
guarantees are checked from what clients and minions observe.
"""

import sys

from tests.soak import runs

if __name__ == "__main__":
    sys.exit(runs.main())
