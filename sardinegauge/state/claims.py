"""Claims of request keys, so that a non-idempotent request runs at one upstream."""

from sardinegauge import outcome, record
from sardinegauge.state import snapshots

MAX_CLAIMS = 500_000
"""Above this, new claims are refused: removing a claim could let its request run
twice."""
MAX_BODY_LENGTH = 64_000_000
"""Total length of stored bodies, in characters; above this, answers are stored without
a body."""


class Claim(record.Record):
    """One request key of a tenant, claimed for one incarnation of an upstream.

    `claim_index` is the log index of the command that created the claim, so a key that
    is released and claimed again has a new one. `headers` are plain dicts with `name`
    and `value`; `body` is base64 text.
    """

    __slots__ = (
        "tenant",
        "key",
        "digest",
        "upstream",
        "incarnation",
        "entry",
        "claim_index",
        "made_at_ms",
        "state",
        "status",
        "headers",
        "body",
        "is_body_kept",
    )
    _defaults = {
        "entry": "",
        "made_at_ms": 0,
        "state": "open",
        "status": 0,
        "headers": list,
        "body": "",
        "is_body_kept": False,
    }

    def to_answer(self):
        """Return the fields needed to answer a resent request, as a plain dict."""
        return {
            "claim_index": self.claim_index,
            "state": self.state,
            "upstream": self.upstream,
            "incarnation": self.incarnation,
            "entry": self.entry,
            "status": self.status,
            "headers": [dict(header) for header in self.headers],
            "body": self.body,
            "is_body_kept": self.is_body_kept,
        }


class Claims:
    """All claims by tenant and key, in the order of their creation."""

    __slots__ = ("body_length", "by_key")

    def __init__(self):
        self.by_key = {}
        self.body_length = 0

    def add(self, claim):
        """Add a claim and the length of its body."""
        self.by_key[claim.tenant, claim.key] = claim
        self.body_length += len(claim.body)

    def remove(self, claim):
        """Remove a claim and subtract the length of its body."""
        del self.by_key[claim.tenant, claim.key]
        self.body_length -= len(claim.body)

    def to_snapshot(self):
        """Return the table as plain data."""
        return snapshots.to_rows(Claim, self.by_key.values())

    def load_snapshot(self, data):
        """Rebuild the table."""
        for claim in snapshots.from_rows(Claim, data):
            self.add(claim)


def create(machine, index, command):
    """Apply `commands.MakeClaim`; a resent request gets the existing claim."""
    key = (command.tenant, command.key)
    claim = machine.claims.by_key.get(key)
    is_new = claim is None
    if is_new and len(machine.claims.by_key) >= MAX_CLAIMS:
        return outcome.Impossible(reason=f"more than {MAX_CLAIMS} claims")
    if is_new:
        claim = Claim(
            tenant=command.tenant,
            key=command.key,
            digest=command.digest,
            upstream=command.upstream,
            incarnation=command.incarnation,
            entry=command.entry,
            claim_index=index,
            made_at_ms=command.at_ms,
        )
        machine.claims.add(claim)
    elif claim.digest != command.digest:
        return outcome.Conflict(
            version=claim.claim_index,
            operator="",
            reason="the key was used for another request",
        )
    return outcome.Accepted(value={**claim.to_answer(), "is_new": is_new})


def _find(machine, command):
    """Return the claim that a command refers to by key and index, or None."""
    claim = machine.claims.by_key.get((command.tenant, command.key))
    if claim is None or claim.claim_index != command.claim_index:
        return None
    return claim


def settle(machine, index, command):
    """Apply `commands.SettleClaim`; the first answer is final.

    The value of `Accepted` has the claim's fields, and ``is_new`` is true if this
    command settled the claim.
    """
    claim = _find(machine, command)
    if claim is None:
        return outcome.Impossible(reason="no such claim")
    is_new = claim.state == "open"
    if is_new:
        claim.state = "settled"
        claim.status = command.status
        claim.headers = [header.to_dict() for header in command.headers]
        length = machine.claims.body_length + len(command.body)
        claim.is_body_kept = command.is_body_kept and length <= MAX_BODY_LENGTH
        if claim.is_body_kept:
            claim.body = command.body
            machine.claims.body_length = length
    return outcome.Accepted(value={**claim.to_answer(), "is_new": is_new})


def release(machine, index, command):
    """Apply `commands.ReleaseClaim`.

    A settled claim is never released, since its request has run.
    """
    claim = _find(machine, command)
    if claim is None:
        return outcome.Impossible(reason="no such claim")
    if claim.state != "open":
        return outcome.Impossible(reason="the claim is settled")
    machine.claims.remove(claim)
    return outcome.Accepted()


def expire(machine, index, command):
    """Apply `commands.ExpireClaims`.

    `Accepted` has the numbers of ``claims`` and ``replies`` removed. The search ends at
    the first that is new enough. After a change to a leader whose clock is behind, some
    stay longer than requested, but none shorter.
    """
    expired = []
    for claim in machine.claims.by_key.values():
        if claim.made_at_ms >= command.before_ms:
            break
        expired.append(claim)
    for claim in expired:
        machine.claims.remove(claim)
    replies = machine.replies.expire(command.before_ms)
    return outcome.Accepted(value={"claims": len(expired), "replies": replies})
