"""Requests of one agent between their arrival and their end, and their keys; pure."""

from sardinegauge import record
from sardinegauge.agents import admission, requestkeys
from sardinegauge.links import httpmessages, messages

RETRY_AFTER_MS = 1000
# Durations kept for the percentiles of one service between two heartbeats.
MAX_DURATIONS = 256
MAX_LOADS = 64

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
    """Answer a repeated key: with its stored response, or with an `Abort`.

    `entry` is a `requestkeys.Entry` whose body is kept, or None; then `verdict` and
    `reason` go into the `Abort`.
    """

    __slots__ = ("request", "entry", "verdict", "reason")
    _defaults = {"entry": None, "verdict": "", "reason": ""}


class AnswerKeyQuery(record.Record):
    """Answer a key query, identified by the number of its event."""

    __slots__ = ("query", "reply")


class Request(record.Record):
    """One request; `deadline_ms` is a point in time."""

    __slots__ = ("head", "deadline_ms")

    @property
    def key(self):
        """Tenant, key and claim index, or None for a request without a claim."""
        head = self.head
        if not head.key or not head.claim_index:
            return None
        return head.tenant, head.key, head.claim_index


class RequestTable:
    """Requests by number; every method returns a list of effects.

    Parameters
    ----------
    incarnation : str
        Of this agent; a request meant for another one is refused.
    room : admission.Admission
    """

    def __init__(self, incarnation, room):
        self.incarnation = incarnation
        self.admission = room
        self.keys = requestkeys.RequestKeys()
        self.by_request = {}
        self._load_by_service = {}

    def arrived(self, now_ms, number, head, refusal_reason):
        """Take a new request; `refusal_reason` refuses it unless its key is known."""
        request = Request(head=head, deadline_ms=now_ms + head.deadline_ms)
        if head.incarnation != self.incarnation:
            return [_refusal(number, "another incarnation is meant")]
        if request.key is not None:
            known = self.keys.state(*request.key)
            if known != requestkeys.UNKNOWN:
                return [self._replay(number, request, known)]
        if refusal_reason:
            return [_refusal(number, refusal_reason)]
        answer = self.admission.offer(now_ms, number, head.service, request.deadline_ms)
        if answer not in (admission.ADMITTED, admission.WAITING):
            return [_refusal(number, answer)]
        if request.key is not None:
            self.keys.begin(now_ms, *request.key)
        self.by_request[number] = request
        if answer == admission.WAITING:
            return []
        return [ForwardRequest(request=number)]

    def _replay(self, number, request, known):
        entry = self.keys.get(*request.key)
        if known == requestkeys.FINISHED and entry.is_body_kept:
            return ReplayRequest(request=number, entry=entry)
        verdict = {
            requestkeys.FINISHED: RAN,
            requestkeys.FENCED: NOT_RUN,
        }.get(known, MAY_HAVE_RUN)
        return ReplayRequest(
            request=number, verdict=verdict, reason=f"the key is {known}"
        )

    def gone(self, number):
        """Take a waiting request out of the queue; an admitted one ends by itself."""
        if not self.admission.forget_waiting(number):
            return []
        self._release(number)
        return [_refusal(number, "the caller left")]

    def ended(self, now_ms, number, ending):
        """Take the end of an admitted request, an `agentevents.RequestEnded`."""
        request = self.by_request.pop(number, None)
        if request is None:
            return []
        self.admission.finish(number, ending.duration_ms)
        if ending.verdict != NOT_RUN:
            self._note_duration(request.head.service, ending.duration_ms)
        if request.key is None:
            return []
        if ending.verdict == NOT_RUN:
            self.keys.release(*request.key)
        elif ending.verdict == RAN:
            self.keys.finish(
                now_ms, *request.key, ending.status, ending.headers, ending.body
            )
        else:
            self.keys.cut(now_ms, *request.key)
        return []

    def admit_waiting(self, now_ms, refusal_reason):
        """Forward waiting requests as connections are free; refuse late ones."""
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
        numbers = [item.request for item in self.admission.waiting]
        self.admission.waiting.clear()
        for number in numbers:
            self._release(number)
        return [_refusal(number, reason) for number in numbers]

    def _release(self, number):
        request = self.by_request.pop(number)
        if request.key is not None:
            self.keys.release(*request.key)

    def queried(self, now_ms, query, message):
        """Answer a `httpmessages.KeyQuery`; fence the key if that is asked."""
        if message.incarnation and message.incarnation != self.incarnation:
            # What an earlier process knew of the key is lost.
            reply = httpmessages.KeyReply(state=requestkeys.CUT)
            return [AnswerKeyQuery(query=query, reply=reply)]
        key = (message.tenant, message.key, message.claim_index)
        if message.fence:
            found = self.keys.fence(now_ms, *key)
        else:
            found = self.keys.state(*key)
        reply = httpmessages.KeyReply(state=found)
        if found == requestkeys.FINISHED:
            entry = self.keys.get(*key)
            reply.status = entry.status
            reply.headers = list(entry.headers)
            reply.body = entry.body
            reply.is_body_kept = entry.is_body_kept
        return [AnswerKeyQuery(query=query, reply=reply)]

    # Load

    def _note_duration(self, service, duration_ms):
        load = self._load_by_service.get(service)
        if load is None:
            if len(self._load_by_service) >= MAX_LOADS:
                return
            load = self._load_by_service[service] = [0, []]
        load[0] += 1
        if len(load[1]) < MAX_DURATIONS:
            load[1].append(duration_ms)
        else:
            # A ring of the newest durations.
            load[1][load[0] % MAX_DURATIONS] = duration_ms

    def take_loads(self):
        """Return `messages.ServiceLoad` of each active service and start anew."""
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
