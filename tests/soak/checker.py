"""What clients and minions have seen, and which promises that breaks."""

import time

# After its acknowledgement no start may follow a cancel by more.
CANCEL_LIMIT_S = 3.0


class Checker:
    """What clients and minions have seen, and which promises that breaks."""

    def __init__(self):
        self.violations = []
        self.running = {}
        self.done = set()
        self.accepted = set()
        self.refused = set()
        self.offered = set()
        self.cancelled_s = {}
        self.starts = 0

    def report(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def on_start(self, minion, key):
        self.starts += 1
        task = key[0]
        job = task.partition(".")[0]
        holder = self.running.get(task)
        if holder is not None:
            self.report("TWICE", f"{key} on {minion.id}, beside {holder}")
        if task in self.done:
            self.report("TWICE", f"{key} on {minion.id} after its end was seen")
        if job in self.refused and job not in self.accepted:
            self.report("REFUSED", f"{key} though every attempt was refused")
        if job not in self.offered:
            self.report("UNASKED", f"{key}")
        cancelled_s = self.cancelled_s.get(job)
        if cancelled_s and time.monotonic() - cancelled_s > CANCEL_LIMIT_S:
            self.report("UNASKED", f"{key} {CANCEL_LIMIT_S} s after its cancel")
        self.running[task] = (minion.id, minion.born, key[1])

    def on_end(self, minion, key):
        if self.running.get(key[0]) == (minion.id, minion.born, key[1]):
            del self.running[key[0]]

    def on_crash(self, minion):
        for task, holder in list(self.running.items()):
            if holder[:2] == (minion.id, minion.born):
                del self.running[task]
