"""Admission control of one upstream: reservations of tasks, and the request queue."""

import collections

from sardinegauge import record
from sardinegauge.links import messages

DEFAULT_QUEUE = 32
MAX_TRACKED_SERVICES = 64
ADMITTED = "admitted"
WAITING = "waiting"
# Weight of the newest duration in the exponential moving average of a service.
DURATION_WEIGHT = 0.1


class WaitingRequest(record.Record):
    """One request in the queue; `deadline_ms` is a point in time."""

    __slots__ = ("request", "service", "deadline_ms")


class Admission:
    """Resources of one upstream that tasks and requests in flight use.

    The sum of all reservations stays within `room`. A task holds its reservation until
    its end is confirmed, and a request holds its connection until the connection to
    the upstream is closed, so work that is being stopped still counts.

    Examples
    --------
    >>> room = messages.Room(cores=4, memory_mb=100, tasks=2, connections=1)
    >>> admission = Admission(room, queue=1)
    >>> admission.reserve(messages.TaskOrder(task="a", cores=3, memory_mb=10))
    ''
    >>> admission.reserve(messages.TaskOrder(task="b", cores=3, memory_mb=10))
    'no room for cores'
    >>> [admission.admit(0, n, "shop", 100) for n in (1, 2, 3)]
    ['admitted', 'waiting', 'queue is full']
    """

    def __init__(self, room, queue=DEFAULT_QUEUE):
        self.room = room
        self.queue = queue
        self.order_by_task = {}
        self.service_by_request = {}
        self.waiting = collections.deque()
        self.limits_by_service = {}
        self.mean_ms_by_service = {}

    def reserved(self):
        """Return the sum of all reservations of tasks as a `messages.Room`."""
        orders = self.order_by_task.values()
        return messages.Room(
            cores=sum(order.cores for order in orders),
            memory_mb=sum(order.memory_mb for order in orders),
            accelerators=sum(order.accelerators for order in orders),
            tasks=len(self.order_by_task),
            connections=sum(order.connections for order in orders),
        )

    def reserve(self, order):
        """Reserve resources for a task; return ``""``, or why there is not enough room.

        A second call for the same task replaces its reservation if the new one fits.
        """
        previous = self.order_by_task.pop(order.task, None)
        used = self.reserved()
        reason = ""
        for name in ("cores", "memory_mb", "accelerators", "connections"):
            total = getattr(used, name) + getattr(order, name)
            # Sums of fractional cores are not exact in floating point.
            if total > getattr(self.room, name) + 1e-6:
                reason = f"no room for {name}"
        if used.tasks + 1 > self.room.tasks:
            reason = "no room for tasks"
        if not reason:
            self.order_by_task[order.task] = order
        elif previous is not None:
            self.order_by_task[order.task] = previous
        return reason

    def release_task(self, task):
        """Release the reservation of a task after its end was confirmed."""
        self.order_by_task.pop(task, None)

    def set_limits(self, services):
        """Set the limits per service, the `services` of the configuration document."""
        self.limits_by_service = services

    def admit(self, now_ms, request, service, deadline_ms):
        """Admit or queue a request; return ADMITTED, WAITING or why it is refused."""
        if now_ms >= deadline_ms:
            return "deadline has passed"
        if not self.waiting and self._has_free_connection(service):
            self.service_by_request[request] = service
            return ADMITTED
        if len(self.waiting) >= self._queue_limit(service):
            return "queue is full"
        if now_ms + self._expected_wait_ms(service) >= deadline_ms:
            return "deadline cannot be met"
        self.waiting.append(
            WaitingRequest(request=request, service=service, deadline_ms=deadline_ms)
        )
        return WAITING

    def release_request(self, request, duration_ms):
        """Release the connection of a request and record the request's duration."""
        service = self.service_by_request.pop(request, None)
        if service is None:
            return
        mean_ms = self.mean_ms_by_service.get(service)
        if mean_ms is None:
            if len(self.mean_ms_by_service) >= MAX_TRACKED_SERVICES:
                self.mean_ms_by_service.pop(next(iter(self.mean_ms_by_service)))
            mean_ms = duration_ms
        self.mean_ms_by_service[service] = (
            mean_ms + (duration_ms - mean_ms) * DURATION_WEIGHT
        )

    def remove_waiting(self, request):
        """Remove a request from the queue; return whether the queue contained it."""
        for item in self.waiting:
            if item.request == request:
                self.waiting.remove(item)
                return True
        return False

    def admit_waiting(self, now_ms):
        """Remove admitted and late requests from the queue; return a list of each.

        A request is late when its remaining time is shorter than the mean duration
        of its service. A service at its own limit does not delay the requests of other
        services.
        """
        admitted, late, still_waiting = [], [], collections.deque()
        for item in self.waiting:
            mean_ms = self.mean_ms_by_service.get(item.service, 0)
            if now_ms + mean_ms >= item.deadline_ms:
                late.append(item.request)
            elif self._has_free_connection(item.service):
                self.service_by_request[item.request] = item.service
                admitted.append(item.request)
            else:
                still_waiting.append(item)
        self.waiting = still_waiting
        return admitted, late

    def _service_limit(self, service, name, default):
        limits = self.limits_by_service.get(service)
        return limits.get(name, default) if limits else default

    def _has_free_connection(self, service):
        if len(self.service_by_request) >= self.room.connections:
            return False
        limit = self._service_limit(service, "concurrency", None)
        if limit is None:
            return True
        running = sum(1 for name in self.service_by_request.values() if name == service)
        return running < limit

    def _queue_limit(self, service):
        return min(self.queue, self._service_limit(service, "queue", self.queue))

    def _expected_wait_ms(self, service):
        mean_ms = self.mean_ms_by_service.get(service, 0)
        rounds = (len(self.waiting) + 1) / max(1, self.room.connections)
        return rounds * mean_ms + mean_ms
