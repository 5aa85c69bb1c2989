"""Tasks of one agent: their phases, epochs and calls to the worker; pure.

A task goes through the phases starting, running, stopping, and ends as stopped,
finished or failed; an order that is not taken is refused. An ended task is reported
until the leader's table no longer lists it.
"""

from sardinegauge.agents import hostedtask

# A call that failed is repeated after the short time. The long one is above every
# timeout of a call and covers a failure that was not reported.
FAILED_RETRY_MS = 500
LOST_RETRY_MS = 7000
MAX_CHECKPOINT_TRIES = 3
# Highest ended epochs are kept to refuse an order of a deposed leader; such a leader
# steps down within a second, so this is far longer than one can be late.
MAX_ENDED_EPOCHS = 4096


class TaskHost:
    """The table of hosted tasks; every method returns a list of effects."""

    def __init__(self, admission):
        self.admission = admission
        self.by_task = {}
        self.ended_epoch_by_task = {}
        self.revision = 0
        self._reports = None

    @property
    def live_count(self):
        """Number of tasks that may still run at the worker."""
        return sum(1 for hosted in self.by_task.values() if not hosted.is_ended)

    def is_settled(self):
        """Tell whether no task is about to change its phase."""
        return all(
            h.is_ended or h.phase == hostedtask.RUNNING for h in self.by_task.values()
        )

    def reports(self):
        """Return the table of `messages.TaskReport`; the same list until a change."""
        if self._reports is None:
            self._reports = [
                hostedtask.report(hosted) for hosted in self.by_task.values()
            ]
        return self._reports

    def note_reported(self, sequence):
        """Note that the heartbeat `sequence` carries the present table."""
        for hosted in self.by_task.values():
            if not hosted.reported_sequence:
                hosted.reported_sequence = sequence

    # Orders

    def apply(self, now_ms, orders, answered_sequence, lease_until_ms, is_closed):
        """Reconcile with a leader's table.

        Parameters
        ----------
        orders : list of messages.TaskOrder
        answered_sequence : int
            Heartbeat that the table answers, 0 for a push. Only a task that this
            heartbeat reported can be missing on purpose; a later one is too new for
            the table.
        lease_until_ms : int
            End of the lease.
        is_closed : bool
            Whether new tasks are refused.
        """
        effects = []
        listed = set()
        for order in orders:
            listed.add((order.task, order.epoch))
            effects += self._follow(now_ms, order, lease_until_ms, is_closed)
        if answered_sequence:
            for hosted in list(self.by_task.values()):
                effects += self._miss(now_ms, hosted, listed, answered_sequence)
        return effects

    def _follow(self, now_ms, order, lease_until_ms, is_closed):
        hosted = self.by_task.get(order.task)
        if hosted is None or (hosted.is_ended and order.epoch > hosted.order.epoch):
            if order.action != "run":
                return self._confirm_absent(now_ms, order)
            return self._start(now_ms, order, lease_until_ms, is_closed)
        if order.epoch > hosted.order.epoch:
            hosted.next_order = order if order.action == "run" else None
            return self._stop(now_ms, hosted, "a newer epoch is ordered")
        if order.epoch < hosted.order.epoch or hosted.is_ended:
            return []
        return self._adjust(now_ms, hosted, order)

    def _adjust(self, now_ms, hosted, order):
        """Follow an order for the hosted epoch."""
        if order.action == "stop":
            return self._stop(now_ms, hosted, "ordered")
        if order.action == "evict":
            return self._evict(now_ms, hosted)
        if hosted.phase == hostedtask.STOPPING:
            return []  # An older table may still say "run".
        if _sizes(order) != _sizes(hosted.order) and not self.admission.reserve(order):
            hosted.order = order
        if order.throttle != hosted.throttle or hosted.is_throttle_lost:
            hosted.throttle = order.throttle
            hosted.is_throttle_lost = False
            self._changed()
            return [
                hostedtask.Throttle(
                    task=order.task, epoch=order.epoch, share=order.throttle
                )
            ]
        return []

    def _confirm_absent(self, now_ms, order):
        """Report a task as stopped that was ordered away and is not here."""
        if order.epoch <= self.ended_epoch_by_task.get(order.task, 0):
            return []
        self._put(now_ms, order, hostedtask.STOPPED, "not here")
        return []

    def _start(self, now_ms, order, lease_until_ms, is_closed):
        if order.epoch <= self.ended_epoch_by_task.get(order.task, 0):
            return []
        if now_ms >= lease_until_ms:
            return []  # The next reply with a lease lists the task again.
        if is_closed:
            self._put(now_ms, order, hostedtask.REFUSED, "draining")
            return []
        reason = self.admission.reserve(order)
        if reason:
            self._put(now_ms, order, hostedtask.REFUSED, reason)
            return []
        hosted = self._put(now_ms, order, hostedtask.STARTING, "")
        return [self._call_start(now_ms, hosted, lease_until_ms)]

    def _put(self, now_ms, order, phase, reason):
        hosted = hostedtask.Hosted(
            order=order,
            phase=phase,
            reason=reason,
            throttle=order.throttle,
            started_ms=now_ms,
        )
        self.by_task[order.task] = hosted
        if hosted.is_ended:
            self._remember(order)
        self._changed()
        return hosted

    def _miss(self, now_ms, hosted, listed, answered_sequence):
        """Stop or drop a task that an answer to its report does not list."""
        if (hosted.order.task, hosted.order.epoch) in listed:
            return []
        if not 0 < hosted.reported_sequence <= answered_sequence:
            return []
        if not hosted.is_ended:
            return self._stop(now_ms, hosted, "not ordered")
        del self.by_task[hosted.order.task]
        self._reports = None  # The leader knows already, so no heartbeat is due.
        if hosted.phase == hostedtask.REFUSED:
            return []
        return [hostedtask.Stop(task=hosted.order.task, epoch=hosted.order.epoch)]

    # Calls to the worker

    def _call_start(self, now_ms, hosted, lease_until_ms):
        _note_call(now_ms, hosted)
        return hostedtask.Start(order=hosted.order, lease_until_ms=lease_until_ms)

    def _stop(self, now_ms, hosted, reason):
        if hosted.phase == hostedtask.STOPPING and not hosted.is_checkpointing:
            return []
        hosted.phase = hostedtask.STOPPING
        hosted.reason = hosted.reason or reason
        hosted.is_checkpointing = False
        self._changed()
        return [self._call_stop(now_ms, hosted)]

    def _call_stop(self, now_ms, hosted):
        _note_call(now_ms, hosted)
        return hostedtask.Stop(task=hosted.order.task, epoch=hosted.order.epoch)

    def _evict(self, now_ms, hosted):
        if hosted.phase == hostedtask.STOPPING:
            return []
        hosted.phase = hostedtask.STOPPING
        hosted.reason = "evicted"
        hosted.is_checkpointing = True
        self._changed()
        return [self._call_checkpoint(now_ms, hosted)]

    def _call_checkpoint(self, now_ms, hosted):
        _note_call(now_ms, hosted)
        hosted.checkpoint_tries += 1
        order = hosted.order
        return hostedtask.Checkpoint(
            task=order.task, epoch=order.epoch, attempt=hosted.checkpoint_tries
        )

    def evict_all(self, now_ms):
        """Evict every live task; for the end of a drain without orders."""
        effects = []
        for hosted in self.by_task.values():
            if not hosted.is_ended:
                effects += self._evict(now_ms, hosted)
        return effects

    def stop_all(self, now_ms, reason):
        """Stop every live task at once, as at the end of the lease."""
        effects = []
        for hosted in self.by_task.values():
            if not hosted.is_ended:
                hosted.next_order = None
                effects += self._stop(now_ms, hosted, reason)
        return effects

    def retry(self, now_ms, lease_until_ms):
        """Repeat calls to the worker that were not answered."""
        effects = []
        for hosted in self.by_task.values():
            if now_ms < hosted.retry_ms:
                continue
            if hosted.phase == hostedtask.STARTING and now_ms < lease_until_ms:
                effects.append(self._call_start(now_ms, hosted, lease_until_ms))
            elif hosted.phase == hostedtask.STOPPING:
                effects += self._retry_stopping(now_ms, hosted)
        return effects

    def _retry_stopping(self, now_ms, hosted):
        if not hosted.is_checkpointing:
            return [self._call_stop(now_ms, hosted)]
        if hosted.checkpoint_tries < MAX_CHECKPOINT_TRIES:
            return [self._call_checkpoint(now_ms, hosted)]
        return self._stop(now_ms, hosted, "evicted without a checkpoint")

    # Answers of the worker

    def call_failed(self, now_ms, task, epoch):
        """Note that the last call for a task got no answer."""
        hosted = self._current(task, epoch)
        if hosted is not None:
            hosted.retry_ms = now_ms + FAILED_RETRY_MS
            # A running task has only throttle calls; the next table repeats them.
            hosted.is_throttle_lost = hosted.phase == hostedtask.RUNNING
        return []

    def start_answered(self, now_ms, task, epoch, is_taken, reason):
        """Take the worker's answer to a start."""
        hosted = self._current(task, epoch)
        if hosted is None or hosted.phase != hostedtask.STARTING:
            return []
        if not is_taken:
            return self._end(now_ms, hosted, hostedtask.FAILED, reason)
        hosted.phase = hostedtask.RUNNING
        hosted.is_confirmed = True
        self._changed()
        return []

    def checkpoint_answered(self, now_ms, task, epoch, checkpoint):
        """Take a checkpoint, or ``""`` where saving failed; then stop the task."""
        hosted = self._current(task, epoch)
        if hosted is None or not hosted.is_checkpointing:
            return []
        if not checkpoint:
            return self.call_failed(now_ms, task, epoch)
        hosted.checkpoint = checkpoint
        return self._stop(now_ms, hosted, "evicted")

    def stop_answered(self, now_ms, task, epoch, phase):
        """Take the confirmed end of a task; it may have finished before the stop."""
        hosted = self._current(task, epoch)
        if hosted is None:
            return []
        return self._end(now_ms, hosted, phase, hosted.reason)

    def seen(self, now_ms, statuses, asked_ms):
        """Take the worker's table, asked for at `asked_ms`.

        What runs there without being hosted here is stopped.
        """
        effects = []
        by_task = {status.task: status for status in statuses}
        for hosted in list(self.by_task.values()):
            status = by_task.get(hosted.order.task)
            if hosted.is_ended or hosted.called_ms >= asked_ms:
                continue
            if status is None or status.epoch != hosted.order.epoch:
                # Without a confirmed start the call may still be on its way.
                if hosted.is_confirmed:
                    effects += self._end(
                        now_ms,
                        hosted,
                        hostedtask.STOPPED,
                        hosted.reason or "lost by the worker",
                    )
            else:
                effects += self._see(now_ms, hosted, status)
        for status in statuses:
            hosted = self.by_task.get(status.task)
            is_known = hosted is not None and hosted.order.epoch == status.epoch
            if status.phase == hostedtask.RUNNING and (not is_known or hosted.is_ended):
                effects.append(hostedtask.Stop(task=status.task, epoch=status.epoch))
        return effects

    def _see(self, now_ms, hosted, status):
        if status.phase in hostedtask.ENDED:
            reason = hosted.reason or status.reason
            return self._end(now_ms, hosted, status.phase, reason)
        hosted.is_confirmed = True
        usage = (status.cores, status.memory_mb, status.progress)
        if usage != (hosted.cores, hosted.memory_mb, hosted.progress):
            hosted.cores, hosted.memory_mb, hosted.progress = usage
            self._reports = None
        if hosted.phase == hostedtask.STARTING:
            hosted.phase = hostedtask.RUNNING
            self._changed()
        return []

    def _current(self, task, epoch):
        hosted = self.by_task.get(task)
        if hosted is None or hosted.order.epoch != epoch or hosted.is_ended:
            return None
        return hosted

    def _end(self, now_ms, hosted, phase, reason):
        order = hosted.order
        hosted.phase = phase if phase in hostedtask.ENDED else hostedtask.STOPPED
        hosted.reason = reason
        hosted.cores, hosted.memory_mb = 0.0, 0
        hosted.is_checkpointing = False
        hosted.reported_sequence = 0
        self.admission.release_task(order.task)
        self._remember(order)
        self._changed()
        return [
            hostedtask.Ended(
                order=order,
                phase=hosted.phase,
                reason=reason,
                ran_ms=now_ms - hosted.started_ms,
            )
        ]

    def start_next(self, now_ms, lease_until_ms, is_closed):
        """Start newer epochs whose predecessors have ended."""
        effects = []
        for hosted in list(self.by_task.values()):
            if hosted.is_ended and hosted.next_order is not None:
                order, hosted.next_order = hosted.next_order, None
                effects += self._start(now_ms, order, lease_until_ms, is_closed)
        return effects

    def _remember(self, order):
        epochs = self.ended_epoch_by_task
        epochs[order.task] = max(epochs.pop(order.task, 0), order.epoch)
        if len(epochs) > MAX_ENDED_EPOCHS:
            del epochs[next(iter(epochs))]

    def _changed(self):
        self.revision += 1
        self._reports = None


def _note_call(now_ms, hosted):
    hosted.called_ms = now_ms
    hosted.retry_ms = now_ms + LOST_RETRY_MS


def _sizes(order):
    return (order.cores, order.memory_mb, order.accelerators, order.connections)
