"""State machine for the requests of one agent and their keys, without I/O."""

from sardinegauge import record
from sardinegauge.agents import admission, requestkeys
from sardinegauge.links import httpmessages, messages

RETRY_AFTER_MS = 1000
# Durations per service that are retained for the percentiles of one heartbeat.
MAX_DURATIONS = 256
MAX_TRACKED_SERVICES = 64

NOT_RUN = "not-run"
MAY_HAVE_RUN = "may-have-run"
RAN = "ran"


class ForwardRequest(record.Record):
    """Send an admitted request to the upstream."""

    __slots__ = ("request",)


class RefuseRequest(record.Record):
    """Refuse a request with the verdict not-run."""

    __slots__ = ("request", "reason", "retry_after_ms")


class ReplayRequest(record.Record):
    """Answer a repeated key with its stored response or with an `Abort`.

    `entry` is a `requestkeys.Entry` with a stored body. If it is None, an `Abort` with
    `verdict` and `reason` is sent.
    """

    __slots__ = ("request", "entry", "verdict", "reason")
    _defaults = {"entry": None, "verdict": "", "reason": ""}


class AnswerKeyQuery(record.Record):
    """Answer the key query with the number `query`."""

    __slots__ = ("query", "reply")


class Request(record.Record):
    """One waiting or admitted request; `deadline_ms` is a point in time."""

    __slots__ = ("head", "deadline_ms")

    @property
    def key(self):
        """Tenant, key and claim index, or None for a request without a claim."""
        head = self.head
        if not head.key or not head.claim_index:
            return None
        return head.tenant, head.key, head.claim_index


class RequestTable:
    """Requests by number; methods that change a request return a list of effects.

    Parameters
    ----------
    incarnation : str
        Incarnation of this agent; requests for another incarnation are refused.
    admission_control : admission.Admission
    """

    def __init__(self, incarnation, admission_control):
        self.incarnation = incarnation
        self.admission = admission_control
        self.keys = requestkeys.RequestKeys()
        self.by_request = {}
        self._load_by_service = {}

    def receive(self, now_ms, number, head, refusal_reason):
        """Replay, refuse, queue or forward a new request.

        A request whose key is known is answered from the table of keys. Any other
        request is refused if `refusal_reason` is not empty.
        """
        request = Request(head=head, deadline_ms=now_ms + head.deadline_ms)
        if head.incarnation != self.incarnation:
            return [_refusal(number, "another incarnation is meant")]
        if request.key is not None:
            key_state = self.keys.state(*request.key)
            if key_state != requestkeys.UNKNOWN:
                return [self._replay(number, request, key_state)]
        if refusal_reason:
            return [_refusal(number, refusal_reason)]
        answer = self.admission.admit(now_ms, number, head.service, request.deadline_ms)
        if answer not in (admission.ADMITTED, admission.WAITING):
            return [_refusal(number, answer)]
        if request.key is not None:
            self.keys.begin(now_ms, *request.key)
        self.by_request[number] = request
        if answer == admission.WAITING:
            return []
        return [ForwardRequest(request=number)]

    def _replay(self, number, request, key_state):
        entry = self.keys.get(*request.key)
        if key_state == requestkeys.FINISHED and entry.is_body_kept:
            return ReplayRequest(request=number, entry=entry)
        verdict = {
            requestkeys.FINISHED: RAN,
            requestkeys.FENCED: NOT_RUN,
        }.get(key_state, MAY_HAVE_RUN)
        return ReplayRequest(
            request=number, verdict=verdict, reason=f"the key is {key_state}"
        )

    def abandon(self, number):
        """Refuse a request that still waits; an admitted request ends by itself."""
        if not self.admission.remove_waiting(number):
            return []
        self._release(number)
        return [_refusal(number, "the caller left")]

    def complete(self, now_ms, number, ending):
        """Release an admitted request; `ending` is an `agentevents.RequestEnded`."""
        request = self.by_request.pop(number, None)
        if request is None:
            return []
        self.admission.release_request(number, ending.duration_ms)
        if ending.verdict != NOT_RUN:
            self._record_duration(request.head.service, ending.duration_ms)
        if request.key is None:
            return []
        if ending.verdict == NOT_RUN:
            self.keys.release(*request.key)
        elif ending.verdict == RAN:
            self.keys.finish(
                now_ms, *request.key, ending.status, ending.headers, ending.body
            )
        else:
            self.keys.mark_cut(now_ms, *request.key)
        return []

    def admit_waiting(self, now_ms, refusal_reason):
        """Forward waiting requests to free connections; refuse those that are late."""
        if not self.admission.waiting:
            return []
        if refusal_reason:
            return self._refuse_waiting(refusal_reason)
        admitted, late = self.admission.admit_waiting(now_ms)
        effects = []
        for number in late:
            self._release(number)
            effects.append(_refusal(number, "deadline cannot be met"))
        return effects + [ForwardRequest(request=number) for number in admitted]

    def _refuse_waiting(self, reason):
        numbers = [
            waiting_request.request for waiting_request in self.admission.waiting
        ]
        self.admission.waiting.clear()
        for number in numbers:
            self._release(number)
        return [_refusal(number, reason) for number in numbers]

    def _release(self, number):
        request = self.by_request.pop(number)
        if request.key is not None:
            self.keys.release(*request.key)

    def answer_query(self, now_ms, query, message):
        """Answer a `httpmessages.KeyQuery`; fence the key if the query says so."""
        if message.incarnation and message.incarnation != self.incarnation:
            # The state of the key is lost with the agent process that had it.
            reply = httpmessages.KeyReply(state=requestkeys.CUT)
            return [AnswerKeyQuery(query=query, reply=reply)]
        key = (message.tenant, message.key, message.claim_index)
        if message.fence:
            key_state = self.keys.fence(now_ms, *key)
        else:
            key_state = self.keys.state(*key)
        reply = httpmessages.KeyReply(state=key_state)
        if key_state == requestkeys.FINISHED:
            entry = self.keys.get(*key)
            reply.status = entry.status
            reply.headers = list(entry.headers)
            reply.body = entry.body
            reply.is_body_kept = entry.is_body_kept
        return [AnswerKeyQuery(query=query, reply=reply)]

    # Load

    def _record_duration(self, service, duration_ms):
        load = self._load_by_service.get(service)
        if load is None:
            if len(self._load_by_service) >= MAX_TRACKED_SERVICES:
                return
            load = self._load_by_service[service] = [0, []]
        load[0] += 1
        count, durations = load
        if len(durations) < MAX_DURATIONS:
            durations.append(duration_ms)
        else:
            # Ring buffer of the newest durations.
            durations[count % MAX_DURATIONS] = duration_ms

    def collect_loads(self):
        """Return a `messages.ServiceLoad` per active service and reset the counts."""
        in_flight = {}
        for service in self.admission.service_by_request.values():
            in_flight[service] = in_flight.get(service, 0) + 1
        loads = []
        for service in {**self._load_by_service, **in_flight}:
            count, durations = self._load_by_service.get(service, (0, []))
            durations = sorted(durations)
            loads.append(
                messages.ServiceLoad(
                    service=service,
                    requests=count,
                    p50_ms=_quantile(durations, 0.5),
                    p99_ms=_quantile(durations, 0.99),
                    in_flight=in_flight.get(service, 0),
                )
            )
        self._load_by_service = {}
        return loads


def _quantile(ordered, share):
    if not ordered:
        return 0.0
    return float(ordered[min(len(ordered) - 1, int(share * len(ordered)))])


def _refusal(number, reason):
    return RefuseRequest(request=number, reason=reason, retry_after_ms=RETRY_AFTER_MS)
