"""Requests and their results, read from the histories of a run."""


class Requests:
    """Requests by id, with the times of their events."""

    def __init__(self, events, weights):
        """weights: weight of each class."""
        self.weights = weights
        self.sent = {}
        self.answered = {}
        self.runs = {}
        self.outcomes = {}
        self.service_us = []
        last = {}
        for e in events:
            if e["ev"] == "request":
                self.sent[e["req"]] = (e["t"], e["class"])
            elif e["ev"] == "answer":
                self.answered[e["req"]] = e["t"]
            elif e["ev"] == "outcome":
                self.outcomes[e["req"]] = e["outcome"]
            elif e["ev"] == "run":
                self.runs.setdefault(e["req"], []).append(e["t"])
                last[e["req"], e["upstream"]] = e["t"]
            elif e["ev"] == "done" and (e["req"], e["upstream"]) in last:
                self.service_us.append(e["t"] - last[e["req"], e["upstream"]])

    def within(self, from_us, to_us, number=None):
        """Ids of the requests sent in a window, of one class or all."""
        return [r for r, (t, k) in self.sent.items()
                if from_us <= t < to_us and number in (None, k)]

    def goodput(self, from_us, to_us):
        """Weight of the answers in a window, a second."""
        weight = sum(self.weights[self.sent[r][1]]
                     for r, t in self.answered.items() if from_us <= t < to_us)
        return weight * 1e6 / (to_us - from_us)

    def offered(self, from_us, to_us, number):
        """Requests of a class sent in a window, a second."""
        return (len(self.within(from_us, to_us, number)) * 1e6
                / (to_us - from_us))

    def latency(self, from_us, to_us, number=None):
        return [self.answered[r] - self.sent[r][0]
                for r in self.within(from_us, to_us, number)
                if r in self.answered]

    def share(self, from_us, to_us, number=None):
        """Share of the requests sent in a window that were answered."""
        sent = self.within(from_us, to_us, number)
        done = sum(1 for r in sent if r in self.answered)
        return done / len(sent) if sent else 0

    def best(self, from_us, to_us, capacity):
        """Largest weight a second that the slots could have served of what
        was offered: the heavier class first."""
        best, left = 0, capacity
        for number in sorted(self.weights, key=self.weights.get, reverse=True):
            part = min(left, self.offered(from_us, to_us, number))
            best += self.weights[number] * part
            left -= part
        return best
