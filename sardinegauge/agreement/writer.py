"""The writer thread of the data folder, with group commit."""

import queue
import threading

from sardinegauge.agreement import raftstate

MAX_BATCH_WRITES = 1024


class Writer:
    """Executes storage effects in order, in a thread of its own.

    The thread keeps disk I/O off the event loop. All writes that are queued during one
    fsync share the next one (group commit).

    Parameters
    ----------
    folder : storage.DataFolder
        Used by this thread alone until `stop` returns.
    on_durable : callable
        Called in the writer thread with the sequence number up to which all writes are
        durable.
    on_failed : callable
        Called in the writer thread with the exception that ended it. After a failed
        fsync the content of the file on disk is unknown, so the caller must end the
        process or load the data folder again.
    max_batch : int
        Maximum number of writes that share one fsync.

    Attributes
    ----------
    syncs, writes : int
        Number of fsyncs done and of effects executed.
    """

    def __init__(self, folder, on_durable, on_failed, max_batch=MAX_BATCH_WRITES):
        self.folder = folder
        self.on_durable = on_durable
        self.on_failed = on_failed
        self.max_batch = max_batch
        self.syncs = 0
        self.writes = 0
        self._queue = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="writer", daemon=True)

    def start(self):
        """Start the writer thread."""
        self._thread.start()

    def put(self, effect):
        """Queue a `Persist`, `InstallSnapshot` or `SaveSnapshot` effect."""
        self._queue.put(effect)

    def stop(self):
        """Execute all queued writes, then stop the thread and wait for it."""
        self._queue.put(None)
        self._thread.join()

    def _run(self):
        try:
            is_running = True
            while is_running:
                batch = self._next_batch()
                is_running = batch[-1] is not None
                self._execute([effect for effect in batch if effect is not None])
        except Exception as error:
            self.on_failed(error)

    def _next_batch(self):
        batch = [self._queue.get()]
        while batch[-1] is not None and len(batch) < self.max_batch:
            try:
                batch.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return batch

    def _execute(self, batch):
        if not batch:
            return
        # The newest hard state is stored first, so that no entry is stored before its
        # term.
        for effect in reversed(batch):
            if isinstance(effect, raftstate.Persist):
                self.folder.save_hard_state(effect.term, effect.vote)
                break
        sequence = 0
        for effect in batch:
            if isinstance(effect, raftstate.Persist):
                self.folder.append(
                    effect.entries, effect.truncate_from, effect.acknowledged
                )
                sequence = effect.sequence
            elif isinstance(effect, raftstate.InstallSnapshot):
                self.folder.install_snapshot(effect.index, effect.term, effect.blob)
                sequence = effect.sequence
            else:
                self.folder.save_snapshot(effect.index, effect.term, effect.blob)
                self.folder.segments.compact_to(effect.compact_to)
        self.folder.sync()
        self.syncs += 1
        self.writes += len(batch)
        if sequence:
            self.on_durable(sequence)
