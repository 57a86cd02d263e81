"""One run of the SIP front: nodes, hubs, callers, Consul, and their faults."""

import threading
import time

from ..platform_harness import ROOT
from ..sip_harness import FakeConsul
from .fault_run import FAULTS_S, FaultRun
from .processes import Node, StandIn
from .sip_oracle import check_sip

HUBS_BACK_AFTER_S = 1.0  # after Consul has lost its state


class Hub:
    """A hub's process."""

    def __init__(self, run, number, instance=0):
        self.run, self.number, self.instance = run, number, instance
        self.name = f"hub-{number}-{instance}"
        self.port, self.transport = run.ports.free_port(), run.transport
        self.start()

    def start(self):
        config = {
            "name": self.name,
            "instance": self.instance,
            "port": self.port,
            "transport": self.transport,
            "seed": self.run.seed,
            "log": self.run.events_path(self.name),
        }
        self.process = StandIn("sip_hub_process", config)

    def kill(self):
        self.run.log.write("exchange-killed", name=self.name)
        self.process.close()

    def close(self):
        self.process.close()


class SipRun(FaultRun):
    """A run on the SIP front, over UDP or TCP."""

    front = "sip"
    caller_module = "sip_caller_process"

    def __init__(self, seed, folder):
        super().__init__(seed, folder)
        self.transport = ("UDP", "TCP")[seed % 2]
        self.deadline_s = self.random.choice([1.5, 2.5, 9.0])
        self.consul = FakeConsul()
        self.consul_lock = threading.Lock()  # it has one fault at a time
        self.exchanges = [Hub(self, number) for number in range(1, self.random.randint(4, 5))]
        for hub in self.exchanges:
            self.register(hub, "passing")
        self.nodes = [self.new_node(number) for number in range(self.random.randint(2, 3))]

    def register(self, hub, status):
        """Sets the state of a hub in Consul; None removes it."""
        with self.consul.condition:
            if status is None:
                self.consul.services.pop(hub.name, None)
            else:
                entry = hub.number, hub.port, hub.transport.lower(), ("service:x", status)
                self.consul.services[hub.name] = entry
            self.consul.index += 1
            self.log.write("publish", name=hub.name, status=str(status), cursor=self.consul.index)
            self.consul.condition.notify_all()

    def new_node(self, number):
        port = self.ports.free_port()
        path = self.folder / f"node-{number}.toml"
        text = (ROOT / "deploy" / "sip.toml").read_text()
        for old, new in (
            ("enabled = false", "enabled = true"),
            ('name = "counters-1"', f'name = "counters-{number}"'),
            ("127.0.0.1:5060", f"127.0.0.1:{port}"),
            ("127.0.0.1:8500", f"127.0.0.1:{self.consul.port}"),
            ("t1_ms = 500", "t1_ms = 200"),
            ("trying_ms = 800", "trying_ms = 300"),
            ("ttl_s = 10", "ttl_s = 1"),
            ("target_s = 1.5", f"target_s = {min(1.5, self.deadline_s)}"),
            ("deadline_s = 9.0", f"deadline_s = {self.deadline_s}"),
        ):
            assert old in text, old
            text = text.replace(old, new)
        path.write_text(text)
        log_path = self.folder / f"node-{number}.log"
        node = Node(f"node-{number}", log_path, lambda: {"CHUTEFORK_SIP": str(path)}, "serving-sip ")
        node.port, node.accepting = port, False
        return node

    def caller_config(self):
        return {
            "transport": self.transport,
            "callers": 10 if self.is_crowded else 4,
            "gap_s": 0.08 if self.is_crowded else 0.15,
        }

    # ---- faults

    def schedule_faults(self):
        choose = self.random
        self.faults.at(choose.uniform(0.5, 3.0), "shutdowns", self.shut_down_in_series)
        for _ in range(choose.randint(1, 3)):
            hub, duration_s = choose.choice(self.exchanges), choose.uniform(0.3, 4.0)
            self.fault_at_exchange("hang", hub, lambda h=hub, d=duration_s: self.hang(h, d))
        index = choose.randrange(len(self.exchanges))
        if choose.random() < 0.7:
            name = self.exchanges[index].name
            delay_s = choose.uniform(0, FAULTS_S - 3)
            self.faults.at(delay_s, "replace", lambda: self.replace_hub(index), name=name)
        if choose.random() < 0.4:
            other = self.exchanges[index - 1]
            self.fault_at_exchange("vanish", other, lambda: self.restart_hub(other))
        if choose.random() < 0.8:
            fault = choose.choice([self.consul_silent, self.consul_down, self.consul_loses_state])
            self.faults.at(choose.uniform(0, 5), "discovery", fault)
        if choose.random() < 0.3:
            self.faults.at(choose.uniform(0, FAULTS_S), "kill", self.kill_node)

    def replace_hub(self, index):
        """A new hub takes over; the old one drains and then ends."""
        old = self.exchanges[index]
        new = Hub(self, old.number, instance=1)
        time.sleep(0.5)
        self.retired.append(old)
        self.exchanges[index] = new
        with self.consul_lock:
            self.register(new, "passing")
            self.register(old, "warning")
        time.sleep(self.random.uniform(1.0, 4.0))
        old.kill()
        with self.consul_lock:
            self.register(old, None)

    def restart_hub(self, hub):
        """The process is killed, and another one comes up at its address; Consul tells it late."""
        hub.kill()
        started_ms = int(time.time() * 1000)
        hub.instance += 10
        hub.start()
        time.sleep(self.random.uniform(0.0, 1.0))
        with self.consul_lock:
            if hub.name in self.consul.services:
                self.consul.started_ms[hub.name] = started_ms
                self.register(hub, self.consul.services[hub.name][3][1])

    def consul_silent(self):
        with self.consul_lock:
            self.consul.silence_open_connections()
        time.sleep(0.1)

    def consul_down(self):
        with self.consul_lock:
            consul = self.consul
            consul.close()
            time.sleep(self.random.choice([0.5, 2.0, 5.0]))
            self.new_consul(consul, consul.index, consul.services)

    def consul_loses_state(self):
        """Consul comes back without hubs, with a lower or a higher index, and they register again."""
        with self.consul_lock:
            consul = self.consul
            services = dict(consul.services)
            consul.close()
            time.sleep(self.random.choice([0.2, 1.0]))
            self.new_consul(consul, self.random.choice([1, consul.index + 20]), {})
            time.sleep(HUBS_BACK_AFTER_S)
            self.consul.register(services)

    def new_consul(self, old, index, services):
        self.consul = FakeConsul(old.port)
        with self.consul.condition:
            self.consul.started_ms, self.consul.services = dict(old.started_ms), dict(services)
            self.consul.index = index

    def check(self, events):
        return check_sip(events)

    def close(self):
        super().close()
        self.consul.close()
