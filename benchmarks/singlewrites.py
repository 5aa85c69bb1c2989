"""One replica as a process whose writes are synced one by one, without group commit."""

from sardinegauge.agreement import writer
from sardinegauge.state import stateapp

if __name__ == "__main__":
    writer.MAX_BATCH_WRITES = 1
    stateapp.main()
