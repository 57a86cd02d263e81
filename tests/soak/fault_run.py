"""What the runs of both fronts have in common: nodes that restart, callers, hubs that hang, the oracle."""

import json
import random
import signal
import time

from .events import EventLog, read_events
from .processes import Faults, Ports, StandIn

CALLER_PROCESSES = 2
FAULTS_S = 8.0  # how long faults begin
MAX_DEADLINE_S = 3.0  # the most that counts of the longest deadline at a planned restart
KILL_AFTER_DEADLINE_S = 0.7
LAST_RELEASE_S = 8.5  # after the end of the run, what has been left standing is a fault
MEMORY_LIMIT_MB, SOCKET_LIMIT = 192, 1024


class FaultRun:
    """Plays one seed in a folder. Subclasses start the processes and choose the faults.

    They set `exchanges`, each with `name`, `process` and `close`, and `nodes`, with `port` and `accepting`.
    """

    front = ""

    def __init__(self, seed, folder):
        self.seed, self.folder = seed, folder
        self.random = random.Random(f"{self.front} {seed}")
        self.log = EventLog(self.events_path("harness"), "harness")
        self.faults = Faults(self.log)
        self.ports = Ports()
        self.is_crowded = self.random.random() < 0.25
        self.deadline_s = 0.0  # the longest of the deployment
        self.exchanges, self.retired, self.nodes, self.callers = [], [], [], []
        self.peak = (0.0, 0)  # memory in MiB, descriptors

    def events_path(self, name):
        return str(self.folder / f"{name}.events")

    caller_module = ""  # of the callers' processes

    def caller_config(self):
        """What the callers' processes are configured with, besides what they all need."""
        raise NotImplementedError

    def start_callers(self):
        """Starts the processes of the callers."""
        for number in range(CALLER_PROCESSES):
            config = {
                "name": f"callers-{number}",
                "id": number,
                "log": self.events_path(f"callers-{number}"),
                "seed": self.seed,
                "deadline_s": self.deadline_s,
                **self.caller_config(),
            }
            self.callers.append(StandIn(self.caller_module, config))
        self.tell_ports()

    def schedule_faults(self):
        """Chooses the faults of this seed and when they begin; they overlap."""
        raise NotImplementedError

    def check(self, events):
        """The violations in the events."""
        raise NotImplementedError

    def play(self):
        """Plays the run and returns the violations found."""
        try:
            for node in self.nodes:
                node.start()
                node.accepting = True
            self.start_callers()
            time.sleep(1.0)
            self.schedule_faults()
            end = time.monotonic() + FAULTS_S
            while time.monotonic() < end or any(thread.is_alive() for thread in self.faults.threads):
                self.sample_resources()
                time.sleep(0.1)
            self.faults.join()
            self.log.write("calm")
            time.sleep(2.0)
            for callers in self.callers:
                callers.command(json.dumps({"stop": True}))
            self.log.write("callers-stopped")
            time.sleep(LAST_RELEASE_S)
            self.log.write("end")
            for node in self.nodes:
                node.signal(signal.SIGTERM)
            codes = [node.wait(MAX_DEADLINE_S + KILL_AFTER_DEADLINE_S) for node in self.nodes]
            self.check_stand_ins()
        finally:
            self.close()
        violations = [f"exit code {code} at the end" for code in codes if code != 0]
        violations += self.faults.failures + self.check_logs()
        return violations + self.check(read_events(self.folder))

    def tell_ports(self):
        ports = [node.port for node in self.nodes if node.accepting]
        for callers in self.callers:
            callers.command(json.dumps({"ports": ports}))

    def sample_resources(self):
        for node in self.nodes:
            found = node.resources()
            if found is not None:
                self.peak = max(self.peak[0], found[0]), max(self.peak[1], found[1])

    # ---- faults

    def fault_at_exchange(self, kind, exchange, play):
        self.faults.at(self.random.uniform(0, FAULTS_S - 1), kind, play, name=exchange.name)

    def shut_down_in_series(self):
        """Planned restarts one after another; the signals come without waiting for the one before."""
        shutdown_s = min(self.deadline_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S
        for _ in range(2):
            for node in self.nodes:
                if self.random.random() < 0.5:
                    exchange = self.random.choice(self.exchanges)
                    hang_s = shutdown_s + self.random.uniform(0.0, 0.6)
                    self.faults.at(
                        0, "hang", lambda e=exchange, d=hang_s: self.hang(e, d), name=exchange.name
                    )
                self.faults.at(0, "restart", lambda node=node: self.restart_node(node), node=node.port)
                time.sleep(self.random.uniform(0.2, 2.0))
            time.sleep(shutdown_s + 0.3)

    def restart_node(self, node):
        """Replaces the process of a node, unless it is being replaced already."""
        if node.replacing.acquire(blocking=False):
            try:
                self.terminate_node(node)
                self.bring_back(node)
            finally:
                node.replacing.release()

    def terminate_node(self, node):
        """SIGTERM, new connections for 0.3 s more, and SIGKILL at the earliest time."""
        kill_at = time.monotonic() + min(self.deadline_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S
        node.signal(signal.SIGTERM)
        time.sleep(0.3)
        node.accepting = False
        self.tell_ports()
        code = node.wait(kill_at - time.monotonic())
        if code is None:
            self.log.write("killed-at-limit", port=node.port)
            node.close()
        elif code != 0:
            self.log.write("exit-code", port=node.port, code=code)

    def kill_node(self):
        """SIGKILL to a node, unless it is being replaced already."""
        node = self.random.choice(self.nodes)
        if node.replacing.acquire(blocking=False):
            try:
                node.accepting = False
                self.log.write("node-killed", port=node.port)
                node.close()
                self.bring_back(node)
            finally:
                node.replacing.release()

    def bring_back(self, node):
        node.start()
        node.accepting = True
        self.tell_ports()

    def hang(self, exchange, duration_s):
        """The process of an exchange stops, or it is alive and says nothing."""
        process = exchange.process
        if self.random.random() < 0.5:
            process.signal(signal.SIGSTOP)
            time.sleep(duration_s)
            process.signal(signal.SIGCONT)
        else:
            process.command("silent")
            time.sleep(duration_s)
            process.command("speak")

    # ---- the end

    def check_stand_ins(self):
        """Notes the stand-ins that have ended by themselves: the run then shows nothing."""
        named = [(exchange.name, exchange.process) for exchange in self.exchanges]
        named += [(callers.config["name"], callers) for callers in self.callers]
        for name, process in named:
            code = process.own_exit_code()
            if code is not None:
                self.faults.failures.append(f"stand-in {name} ended by itself with {code}")

    def check_logs(self):
        """What the programs' logs and their use of resources show."""
        violations = []
        for node in self.nodes:
            for line in node.log_path.read_text().splitlines():
                if line.startswith(("fault ", "violation ", "Traceback")):
                    violations.append(f"{node.name}: {line}")
        if self.peak[0] > MEMORY_LIMIT_MB or self.peak[1] > SOCKET_LIMIT:
            violations.append(f"limit: {self.peak[0]:.0f} MiB, {self.peak[1]} descriptors")
        return violations

    def close(self):
        """Ends all processes."""
        for part in (*self.callers, *self.nodes, *self.exchanges, *self.retired):
            part.close()
        self.ports.close()
