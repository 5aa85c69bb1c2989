"""State of the entry's reducer, and the functions that end a request."""

from sardinegauge import outcome
from sardinegauge.entries import (
    balancer,
    entryevents,
    limits,
    retrybudget,
    upstreamtable,
)

# A configuration and directory confirmed by a leader are valid for this time after the
# poll was sent. Electing a new leader takes at most 2 s, so that requests go on while
# there is none.
CONFIRMATION_VALID_MS = 5_000
RETRY_AFTER_MS = 1_000

# Stages of a request.
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

    `worst_verdict` is the verdict over all attempts so far: after an attempt that may
    have run, a refusal of a later attempt does not make the request not-run.
    `lost_attempts` counts the attempts that may have run and got no complete response.
    `timer_token` is that of the latest timer; earlier timers are ignored.
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
        "lost_attempts",
        "number",
        "retries",
        "sent_at_ms",
        "stage",
        "timer_token",
        "tried_upstreams",
        "upstream",
        "worst_verdict",
    )

    def __init__(self, number, call):
        self.number = number
        self.call = call
        self.stage = RECEIVING
        self.attempt = 0
        self.lost_attempts = 0
        self.retries = 0
        self.timer_token = 0
        self.tried_upstreams = []
        self.upstream = None
        self.worst_verdict = outcome.Verdict.NOT_RUN
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
    """State of the reducer.

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
        self.retry_budget = retrybudget.RetryBudget(retry_ratio)
        self.config_version = 0
        self.configuration = {}
        self.confirmed_until_ms = 0
        self.is_draining = False
        self.limits = limits.Limits(max_concurrent, max_per_tenant)
        self.requests = {}
        self.upstreams = upstreamtable.UpstreamTable()

    def is_confirmed(self, now_ms):
        """Tell whether configuration and directory are still valid."""
        return now_ms < self.confirmed_until_ms

    def is_ready(self, now_ms):
        """Tell whether new requests are accepted."""
        return self.is_confirmed(now_ms) and not self.is_draining


def start_timer(request, delay_ms):
    """Return the effect that starts a timer and supersedes the request's last one."""
    request.timer_token += 1
    return entryevents.StartTimer(
        number=request.number, delay_ms=delay_ms, token=request.timer_token
    )


def release_upstream(request):
    """Remove the request from the load of its upstream."""
    if request.upstream is not None:
        request.upstream.own_in_flight -= 1
        request.upstream = None


def fail_request(
    state, request, reason, status=None, verdict=None, retry_after_ms=None
):
    """Answer the caller without a response and remove the request."""
    effects = answer_caller(request, reason, status, verdict, retry_after_ms)
    return effects + remove(state, request)


def answer_caller(request, reason, status=None, verdict=None, retry_after_ms=None):
    """Answer the caller without a response, unless the caller was answered before.

    The status defaults to 503 if no attempt ran and to 504 otherwise.
    """
    if request.is_answered:
        return []
    request.is_answered = True
    verdict = verdict or request.worst_verdict
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


def remove(state, request):
    """Remove the request and admit queued requests of its tenant in its place."""
    del state.requests[request.number]
    release_upstream(request)
    tenant = request.call.tenant
    if not request.is_admitted:
        state.limits.leave_queue(tenant, request.number)
        return []
    effects = []
    for number in state.limits.release(tenant):
        effects.append(_admit_queued(state, state.requests[number]))
    return effects


def _admit_queued(state, request):
    """Admit a queued request; its timer supplies the seed to choose an upstream."""
    request.is_admitted = True
    request.stage = BACKOFF if request.is_body_ready else RECEIVING
    return start_timer(request, 0)
