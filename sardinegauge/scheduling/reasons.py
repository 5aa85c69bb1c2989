"""Bounded store of scheduling decisions by task, job, service or worker."""

import collections

from sardinegauge import record

# Number of ids with reasons; the least recently updated ones are dropped first.
MAX_IDS = 8_192
MAX_REASONS_PER_ID = 8
RETENTION_MS = 3_600_000


class Reason(record.Record):
    """One decision about an id; `template` is formatted with `values` when shown.

    `count` and `last_ms` include consecutive repetitions of the same decision.
    """

    __slots__ = ("count", "first_ms", "last_ms", "template", "values")

    def text(self):
        """Return the reason as one sentence."""
        return self.template.format(*self.values)


class Reasons:
    """Reasons by id, newest last, bounded in number and age.

    Examples
    --------
    >>> reasons = Reasons()
    >>> reasons.record_decision(1_000, ["t1"], "no room for {} cores", 4)
    >>> reasons.record_decision(3_000, ["t1"], "no room for {} cores", 4)
    >>> reasons.lines("t1", 5_000)
    ['2 s ago: no room for 4 cores (2 times in 2 s)']
    """

    __slots__ = ("reasons_by_id",)

    def __init__(self):
        self.reasons_by_id = {}

    def record_decision(self, now_ms, ids, template, *values):
        """Store a decision under each of the ids.

        A repetition of the newest decision of an id is counted and not stored again.
        """
        for id in ids:
            reasons = self.reasons_by_id.pop(id, None)
            if reasons is None:
                reasons = collections.deque(maxlen=MAX_REASONS_PER_ID)
            # Insertion at the end keeps the ids ordered by their last update.
            self.reasons_by_id[id] = reasons
            newest = reasons[-1] if reasons else None
            if newest and newest.template == template and newest.values == values:
                newest.count += 1
                newest.last_ms = now_ms
                continue
            reasons.append(
                Reason(
                    count=1,
                    first_ms=now_ms,
                    last_ms=now_ms,
                    template=template,
                    values=values,
                )
            )
        while len(self.reasons_by_id) > MAX_IDS:
            del self.reasons_by_id[next(iter(self.reasons_by_id))]

    def expire(self, now_ms):
        """Drop the ids without a decision for `RETENTION_MS`."""
        while self.reasons_by_id:
            id, reasons = next(iter(self.reasons_by_id.items()))
            if now_ms - reasons[-1].last_ms <= RETENTION_MS:
                return
            del self.reasons_by_id[id]

    def lines(self, id, now_ms):
        """Return the reasons of an id, one line with its age each, newest last."""
        reason_lines = []
        for reason in self.reasons_by_id.get(id, ()):
            age_s = max(0, now_ms - reason.last_ms) // 1000
            line = f"{age_s} s ago: {reason.text()}"
            if reason.count > 1:
                span_s = (reason.last_ms - reason.first_ms) // 1000
                line += f" ({reason.count} times in {span_s} s)"
            reason_lines.append(line)
        return reason_lines
