"""State of the entry's reducer, and the ways in which a request leaves it."""

from sardinegauge import outcome
from sardinegauge.entries import (
    balancer,
    entryevents,
    limits,
    retrybudget,
    upstreamtable,
)

# A configuration and directory confirmed by a leader are good for this long after the
# poll was sent. Electing a leader takes at most 2 s, so its loss stops no request.
EVIDENCE_MS = 5_000
RETRY_AFTER_MS = 1_000

RECEIVING = "receiving"
QUEUED = "queued"
BACKOFF = "backoff"
CLAIMING = "claiming"
QUERYING = "querying"
RELEASING = "releasing"
SENT = "sent"
RESPONDING = "responding"


class Request:
    """One request in progress.

    `worst` is the verdict over all attempts so far: after one that may have run, a
    later refusal does not make the request not-run.
    """

    __slots__ = (
        "attempt",
        "call",
        "claim_index",
        "claim_rounds",
        "claim_upstream",
        "digest",
        "incarnation",
        "is_admitted",
        "is_answered",
        "is_body_ready",
        "number",
        "retries",
        "sent_at_ms",
        "stage",
        "token",
        "tried",
        "upstream",
        "worst",
    )

    def __init__(self, number, call):
        self.number = number
        self.call = call
        self.stage = RECEIVING
        self.attempt = 0
        self.retries = 0
        self.token = 0
        self.tried = []
        self.upstream = None
        self.worst = outcome.Verdict.NOT_RUN
        self.is_admitted = False
        self.is_answered = False
        self.is_body_ready = False
        self.digest = ""
        self.incarnation = ""
        self.sent_at_ms = 0
        self.claim_index = 0
        self.claim_rounds = 0
        self.claim_upstream = ""


class State:
    """Everything the reducer knows.

    Parameters
    ----------
    max_concurrent, max_per_tenant : int
        Limits of requests in progress, see `limits.Limits`.
    retry_ratio : float
        Retries allowed for each recent request, see `retrybudget.RetryBudget`.
    policy : balancer.Balancer, optional
        Default: two random choices.
    """

    def __init__(self, max_concurrent, max_per_tenant, retry_ratio, policy=None):
        self.balancer = policy or balancer.TwoChoices()
        self.budget = retrybudget.RetryBudget(retry_ratio)
        self.config_version = 0
        self.configuration = {}
        self.confirmed_until_ms = 0
        self.is_draining = False
        self.limits = limits.Limits(max_concurrent, max_per_tenant)
        self.requests = {}
        self.upstreams = upstreamtable.UpstreamTable()

    def is_confirmed(self, now_ms):
        """Tell whether configuration and directory may still be used."""
        return now_ms < self.confirmed_until_ms

    def is_ready(self, now_ms):
        """Tell whether new requests are taken."""
        return self.is_confirmed(now_ms) and not self.is_draining


def wait(request, delay_ms):
    """Return the effect that wakes the request unless something else does first."""
    request.token += 1
    return entryevents.StartTimer(
        number=request.number, delay_ms=delay_ms, token=request.token
    )


def leave_upstream(request):
    """Stop counting the request in the load of its upstream."""
    if request.upstream is not None:
        request.upstream.own_in_flight -= 1
        request.upstream = None


def give_up(state, request, reason, status=None, verdict=None, retry_after_ms=None):
    """Answer the caller at once and drop the request."""
    effects = answer(request, reason, status, verdict, retry_after_ms)
    return effects + drop(state, request)


def answer(request, reason, status=None, verdict=None, retry_after_ms=None):
    """Answer the caller without a response, unless that is done already."""
    if request.is_answered:
        return []
    request.is_answered = True
    verdict = verdict or request.worst
    if status is None:
        status = 503 if verdict is outcome.Verdict.NOT_RUN else 504
    if retry_after_ms is None:
        retry_after_ms = RETRY_AFTER_MS if status == 503 else 0
    return [
        entryevents.Answer(
            number=request.number,
            status=status,
            verdict=verdict,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )
    ]


def drop(state, request):
    """Remove the request; its place goes to the next one of its tenant."""
    del state.requests[request.number]
    leave_upstream(request)
    tenant = request.call.tenant
    if not request.is_admitted:
        state.limits.leave_queue(tenant, request.number)
        return []
    effects = []
    for number in state.limits.release(tenant):
        effects.append(_admit_queued(state, state.requests[number]))
    return effects


def _admit_queued(state, request):
    """Admit a queued request; the application wakes it with a fresh seed."""
    request.is_admitted = True
    request.stage = BACKOFF if request.is_body_ready else RECEIVING
    return wait(request, 0)
