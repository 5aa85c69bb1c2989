"""One replica as a process whose writes are synced one by one, without group commit."""

from sardinegauge import stateapp, writer

if __name__ == "__main__":
    writer.MAX_BATCH_WRITES = 1
    stateapp.main()
