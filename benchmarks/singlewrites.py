"""Starts a replica that syncs each write on its own: the baseline for group commit."""

from sardinegauge.agreement import writer
from sardinegauge.state import statecommand

if __name__ == "__main__":
    writer.MAX_BATCH_WRITES = 1
    statecommand.main()
