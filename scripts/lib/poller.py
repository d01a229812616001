"""Writes down which revisions are in force on each entry VM."""

import concurrent.futures
import threading

import wire
from cluster import now_us


class Poller:
    """Writes the revisions in force on each VM into the history."""

    def __init__(self, c, seconds, names):
        self.cluster = c
        self.seconds = seconds
        self.names = names
        self.last = {}
        self.agents = {}
        self.ended = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(16)
        self.thread = threading.Thread(target=self._loop, daemon=True)
        self.thread.start()

    def stop(self):
        self.ended.set()
        self.thread.join()
        self.pool.shutdown()
        for agent in self.agents.values():
            agent.close()

    def _loop(self):
        while not self.ended.wait(self.seconds):
            list(self.pool.map(self._look, self.cluster.vms))

    def _look(self, vm):
        try:
            if vm.name not in self.agents:
                self.agents[vm.name] = wire.Agent(self.cluster.key,
                                                  vm.agent_address)
            have = self.agents[vm.name].status()["in_force"]
        except OSError:
            agent = self.agents.pop(vm.name, None)
            if agent:
                agent.close()
            return
        for record, revision in have.items():
            if self.names and record not in self.names:
                continue
            self._see(vm, record, revision)

    def _see(self, vm, record, revision):
        """A line for each change, and one in 5 s so that a VM which stays
        behind is seen to be there."""
        before, at = self.last.get((vm.name, record), (None, 0))
        now = now_us()
        if before == revision and now - at < 5_000_000:
            return
        self.last[vm.name, record] = (revision, now)
        self.cluster.note("in_force", record=record, revision=revision,
                          vm=vm.name)
