"""State machine for the tasks of one agent: phases, epochs and calls to the worker.

The module performs no I/O: calls to the worker are returned as effects, and their
results come back as method calls. A task goes through the phases starting, running and
stopping, and ends as stopped, finished or failed; an order that the agent does not
accept is refused. An ended task is reported in heartbeats until the leader's orders no
longer list the task.
"""

import logging

from sardinegauge import checkpoints
from sardinegauge.agents import hostedtask

# Delay before a failed call to the worker is repeated.
FAILED_CALL_RETRY_MS = 500
# Delay before a call without any result is repeated; longer than all call time-outs,
# so that it applies only if a failure was never reported.
PENDING_CALL_RETRY_MS = 7000
MAX_CHECKPOINT_ATTEMPTS = 3
# A task that started longer before a crash of the worker is not suspected of it.
CRASH_SUSPECT_MS = 5000
# The highest ended epoch of a task is retained so that an order of a deposed leader
# can't start that epoch again. A deposed leader steps down within a second, and this
# many epochs cover a far longer time.
MAX_ENDED_EPOCHS = 4096

log = logging.getLogger(__name__)


class TaskHost:
    """Tasks of one agent by name; methods that change tasks return effects."""

    def __init__(self, admission):
        self.admission = admission
        self.by_task = {}
        self.ended_epoch_by_task = {}
        self.revision = 0
        self._reports = None

    @property
    def live_count(self):
        """Number of tasks that have not ended and may still run on the worker."""
        return sum(1 for hosted in self.by_task.values() if not hosted.is_ended)

    def is_settled(self):
        """Return whether every task is either running or ended."""
        return all(
            h.is_ended or h.phase == hostedtask.RUNNING for h in self.by_task.values()
        )

    def reports(self):
        """Return a `messages.TaskReport` for each task; cached until a task changes."""
        if self._reports is None:
            self._reports = [
                hostedtask.report(hosted) for hosted in self.by_task.values()
            ]
        return self._reports

    def mark_reported(self, sequence):
        """Record that the heartbeat `sequence` carries the current reports."""
        for hosted in self.by_task.values():
            if not hosted.reported_sequence:
                hosted.reported_sequence = sequence

    # Orders

    def apply_orders(
        self, now_ms, orders, answered_sequence, lease_until_ms, is_refusing_work
    ):
        """Reconcile the tasks with the orders of the leader.

        Parameters
        ----------
        orders : list of messages.TaskOrder
        answered_sequence : int
            Sequence number of the heartbeat to which the orders reply, or 0 for a push.
            A task missing from the orders is stopped or removed only if this heartbeat
            or an earlier one reported the task; otherwise the leader may not have known
            the task when sending the orders.
        lease_until_ms : int
            Time at which the agent's lease ends.
        is_refusing_work : bool
            Whether new tasks are refused because the upstream is leaving.
        """
        effects = []
        listed = set()
        for order in orders:
            listed.add((order.task, order.epoch))
            effects += self._apply_order(
                now_ms, order, lease_until_ms, is_refusing_work
            )
        if answered_sequence:
            for hosted in list(self.by_task.values()):
                effects += self._remove_unlisted(
                    now_ms, hosted, listed, answered_sequence
                )
        return effects

    def _apply_order(self, now_ms, order, lease_until_ms, is_refusing_work):
        hosted = self.by_task.get(order.task)
        if hosted is None or (hosted.is_ended and order.epoch > hosted.order.epoch):
            if order.action != "run":
                return self._confirm_absent(now_ms, order)
            return self._start(now_ms, order, lease_until_ms, is_refusing_work)
        if order.epoch > hosted.order.epoch:
            hosted.next_order = order if order.action == "run" else None
            return self._stop(now_ms, hosted, "a newer epoch is ordered")
        if order.epoch < hosted.order.epoch or hosted.is_ended:
            return []
        return self._update(now_ms, hosted, order)

    def _update(self, now_ms, hosted, order):
        """Apply an order for the epoch that the agent already has."""
        if order.action == "stop":
            return self._stop(now_ms, hosted, "ordered")
        if order.action == "evict":
            return self._evict(now_ms, hosted)
        if hosted.phase == hostedtask.STOPPING:
            return []  # An order sent before the stop may still say "run".
        if _demand(order) != _demand(hosted.order) and not self.admission.reserve(
            order
        ):
            hosted.order = order
        if order.throttle != hosted.throttle or hosted.is_throttle_unconfirmed:
            hosted.throttle = order.throttle
            hosted.is_throttle_unconfirmed = False
            self._mark_changed()
            return [
                hostedtask.Throttle(
                    task=order.task, epoch=order.epoch, share=order.throttle
                )
            ]
        return []

    def _confirm_absent(self, now_ms, order):
        """Report a task as stopped that is to be removed but unknown to the agent."""
        if order.epoch <= self.ended_epoch_by_task.get(order.task, 0):
            return []
        self._add(now_ms, order, hostedtask.STOPPED, "not here")
        return []

    def _start(self, now_ms, order, lease_until_ms, is_refusing_work):
        if order.epoch <= self.ended_epoch_by_task.get(order.task, 0):
            return []
        if now_ms >= lease_until_ms:
            return []  # The leader repeats the order in its next reply with a lease.
        if is_refusing_work:
            self._add(now_ms, order, hostedtask.REFUSED, "draining")
            return []
        reason = self.admission.reserve(order)
        if reason:
            self._add(now_ms, order, hostedtask.REFUSED, reason)
            return []
        hosted = self._add(now_ms, order, hostedtask.STARTING, "")
        return [self._call_start(now_ms, hosted, lease_until_ms)]

    def _add(self, now_ms, order, phase, reason):
        hosted = hostedtask.HostedTask(
            order=order,
            phase=phase,
            reason=reason,
            throttle=order.throttle,
            started_at_ms=now_ms,
        )
        self.by_task[order.task] = hosted
        if hosted.is_ended:
            self._record_ended_epoch(order)
        self._mark_changed()
        return hosted

    def _remove_unlisted(self, now_ms, hosted, listed, answered_sequence):
        """Stop a live task, or remove an ended one, that the leader no longer lists."""
        if (hosted.order.task, hosted.order.epoch) in listed:
            return []
        if not 0 < hosted.reported_sequence <= answered_sequence:
            return []
        if not hosted.is_ended:
            return self._stop(now_ms, hosted, "not ordered")
        del self.by_task[hosted.order.task]
        self._reports = None  # The leader knows of the end, so no heartbeat is due.
        if hosted.phase == hostedtask.REFUSED:
            return []
        return [hostedtask.Stop(task=hosted.order.task, epoch=hosted.order.epoch)]

    # Calls to the worker

    def _call_start(self, now_ms, hosted, lease_until_ms):
        _record_call(now_ms, hosted)
        return hostedtask.Start(order=hosted.order, lease_until_ms=lease_until_ms)

    def _stop(self, now_ms, hosted, reason):
        if hosted.phase == hostedtask.STOPPING and not hosted.is_checkpointing:
            return []
        hosted.phase = hostedtask.STOPPING
        hosted.reason = hosted.reason or reason
        hosted.is_checkpointing = False
        self._mark_changed()
        return [self._call_stop(now_ms, hosted)]

    def _call_stop(self, now_ms, hosted):
        _record_call(now_ms, hosted)
        return hostedtask.Stop(task=hosted.order.task, epoch=hosted.order.epoch)

    def _evict(self, now_ms, hosted):
        if hosted.phase == hostedtask.STOPPING:
            return []
        hosted.phase = hostedtask.STOPPING
        hosted.reason = "evicted"
        hosted.is_checkpointing = True
        self._mark_changed()
        return [self._call_checkpoint(now_ms, hosted)]

    def _call_checkpoint(self, now_ms, hosted):
        _record_call(now_ms, hosted)
        hosted.checkpoint_attempts += 1
        order = hosted.order
        return hostedtask.Checkpoint(
            task=order.task, epoch=order.epoch, attempt=hosted.checkpoint_attempts
        )

    def evict_all(self, now_ms):
        """Evict every live task, at the end of a drain without eviction orders."""
        effects = []
        for hosted in self.by_task.values():
            if not hosted.is_ended:
                effects += self._evict(now_ms, hosted)
        return effects

    def stop_all(self, now_ms, reason):
        """Stop every live task without a checkpoint, as at the end of the lease."""
        effects = []
        for hosted in self.by_task.values():
            if not hosted.is_ended:
                hosted.next_order = None
                effects += self._stop(now_ms, hosted, reason)
        return effects

    def retry_calls(self, now_ms, lease_until_ms):
        """Repeat calls to the worker that have no result and are due for a retry."""
        effects = []
        for hosted in self.by_task.values():
            if now_ms < hosted.retry_at_ms:
                continue
            if hosted.phase == hostedtask.STARTING and now_ms < lease_until_ms:
                effects.append(self._call_start(now_ms, hosted, lease_until_ms))
            elif hosted.phase == hostedtask.STOPPING:
                effects += self._retry_stopping(now_ms, hosted)
        return effects

    def _retry_stopping(self, now_ms, hosted):
        if not hosted.is_checkpointing:
            return [self._call_stop(now_ms, hosted)]
        if hosted.checkpoint_attempts < MAX_CHECKPOINT_ATTEMPTS:
            return [self._call_checkpoint(now_ms, hosted)]
        return self._stop(now_ms, hosted, "evicted without a checkpoint")

    # Answers of the worker

    def call_failed(self, now_ms, task, epoch):
        """Schedule a retry after a call to the worker got no answer."""
        hosted = self._find_live(task, epoch)
        if hosted is not None:
            hosted.retry_at_ms = now_ms + FAILED_CALL_RETRY_MS
            # The only calls for a running task are throttle calls; the next order from
            # the leader repeats the call.
            hosted.is_throttle_unconfirmed = hosted.phase == hostedtask.RUNNING
        return []

    def start_answered(self, now_ms, task, epoch, is_taken, reason):
        """Handle the worker's answer to a start call."""
        hosted = self._find_live(task, epoch)
        if hosted is None or hosted.phase != hostedtask.STARTING:
            return []
        if not is_taken:
            return self._end(now_ms, hosted, hostedtask.FAILED, reason)
        hosted.phase = hostedtask.RUNNING
        hosted.is_confirmed = True
        self._mark_changed()
        return []

    def checkpoint_answered(self, now_ms, task, epoch, checkpoint):
        """Store a checkpoint and stop the task; retry if `checkpoint` is ``""``."""
        hosted = self._find_live(task, epoch)
        if hosted is None or not hosted.is_checkpointing:
            return []
        if not checkpoint:
            return self.call_failed(now_ms, task, epoch)
        if not checkpoints.is_storable(checkpoint):
            log.warning(
                "checkpoint_not_used task=%s epoch=%d length=%d limit=%d",
                task,
                epoch,
                len(checkpoint),
                checkpoints.MAX_LENGTH,
            )
            return self._stop(now_ms, hosted, "evicted without a checkpoint")
        hosted.checkpoint = checkpoint
        return self._stop(now_ms, hosted, "evicted")

    def stop_answered(self, now_ms, task, epoch, phase):
        """Handle the confirmed end of a task; it may have finished before the stop."""
        hosted = self._find_live(task, epoch)
        if hosted is None:
            return []
        return self._end(now_ms, hosted, phase, hosted.reason)

    def apply_statuses(self, now_ms, statuses, requested_at_ms):
        """Reconcile the tasks with the worker's answer to a poll at `requested_at_ms`.

        Tasks that run on the worker but are unknown to the agent are stopped.
        """
        effects = []
        by_task = {status.task: status for status in statuses}
        crash_suspect = self._find_crash_suspect(now_ms, by_task)
        for hosted in list(self.by_task.values()):
            status = by_task.get(hosted.order.task)
            if hosted.is_ended or hosted.called_at_ms >= requested_at_ms:
                continue
            if status is None or status.epoch != hosted.order.epoch:
                # An unconfirmed task may be missing because its start call is still
                # in flight.
                if hosted.is_confirmed:
                    phase = hostedtask.STOPPED
                    if hosted is crash_suspect:
                        phase = hostedtask.FAILED
                    reason = hosted.reason or "lost by the worker"
                    effects += self._end(now_ms, hosted, phase, reason)
            else:
                effects += self._apply_status(now_ms, hosted, status)
        for status in statuses:
            hosted = self.by_task.get(status.task)
            is_known = hosted is not None and hosted.order.epoch == status.epoch
            if status.phase == hostedtask.RUNNING and (not is_known or hosted.is_ended):
                effects.append(hostedtask.Stop(task=status.task, epoch=status.epoch))
        return effects

    def _find_crash_suspect(self, now_ms, by_task):
        """Return the task that may have crashed the worker, or None.

        A worker that crashed has lost all its tasks; the latest one started shortly
        before. Its loss counts as a failure, or it would crash one worker after the
        other.
        """
        confirmed = [
            hosted
            for hosted in self.by_task.values()
            if hosted.is_confirmed and not hosted.is_ended
        ]
        if not confirmed or any(
            hosted.order.task in by_task
            and by_task[hosted.order.task].epoch == hosted.order.epoch
            for hosted in confirmed
        ):
            return None
        latest = max(confirmed, key=lambda hosted: hosted.started_at_ms)
        is_suspect = (
            latest.phase == hostedtask.RUNNING
            and now_ms - latest.started_at_ms <= CRASH_SUSPECT_MS
        )
        return latest if is_suspect else None

    def _apply_status(self, now_ms, hosted, status):
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
            self._mark_changed()
        return []

    def _find_live(self, task, epoch):
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
        self._record_ended_epoch(order)
        self._mark_changed()
        return [
            hostedtask.TaskEnded(
                order=order,
                phase=hosted.phase,
                reason=reason,
                run_time_ms=now_ms - hosted.started_at_ms,
            )
        ]

    def start_successors(self, now_ms, lease_until_ms, is_refusing_work):
        """Start newer epochs of tasks whose previous epoch has ended."""
        effects = []
        for hosted in list(self.by_task.values()):
            if hosted.is_ended and hosted.next_order is not None:
                order, hosted.next_order = hosted.next_order, None
                effects += self._start(now_ms, order, lease_until_ms, is_refusing_work)
        return effects

    def _record_ended_epoch(self, order):
        epochs = self.ended_epoch_by_task
        epochs[order.task] = max(epochs.pop(order.task, 0), order.epoch)
        if len(epochs) > MAX_ENDED_EPOCHS:
            del epochs[next(iter(epochs))]

    def _mark_changed(self):
        self.revision += 1
        self._reports = None


def _record_call(now_ms, hosted):
    hosted.called_at_ms = now_ms
    hosted.retry_at_ms = now_ms + PENDING_CALL_RETRY_MS


def _demand(order):
    return (order.cores, order.memory_mb, order.accelerators, order.connections)
