"""One run of the platform's protocol: nodes, exchanges, proxies, callers, discovery, and their faults."""

import json
import signal
import time

from ..platform_harness import SETTINGS
from .discovery import Discovery
from .fault_run import FAULTS_S, MEMORY_LIMIT_MB, SOCKET_LIMIT, FaultRun
from .platform_oracle import check_platform
from .processes import Node, StandIn

NEW_EXCHANGE_READY_S = 0.5  # from the start of its process


class Exchange:
    """An exchange's process, sometimes behind a proxy, and its entry in the list."""

    def __init__(self, run, number, generation=0, since_ms=0):
        self.run, self.number, self.since_ms = run, number, since_ms
        self.name = f"s-{number}-{generation}"
        self.port = self.listed_port = run.ports.free_port()
        self.proxy = None
        if run.random.random() < 0.4:
            self.listed_port = run.ports.free_port()
            self.proxy = StandIn("proxy_process", {"port": self.listed_port, "target": self.port})
        self.start()

    def start(self):
        config = {
            "name": self.name,
            "port": self.port,
            "seed": self.run.seed,
            "log": self.run.events_path(self.name),
        }
        self.process = StandIn("exchange_process", config)

    def entry(self, status="Ready"):
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.listed_port}",
            "zone": "z",
            "type": "std",
            "group": self.number,
            "status": status,
            "weight": 1,
            "since_ms": self.since_ms,
        }

    def kill(self):
        self.run.log.write("exchange-killed", name=self.name)
        self.process.close()

    def close(self):
        self.process.close()
        if self.proxy is not None:
            self.proxy.close()


class PlatformRun(FaultRun):
    """A run on the platform's front."""

    front = "platform"
    caller_module = "caller_process"

    def __init__(self, seed, folder):
        super().__init__(seed, folder)
        self.discovery = Discovery(self.log)
        self.deadline_s = self.random.choice([0.4, 1.5, 2.5, 9.0])
        self.exchanges = [Exchange(self, number) for number in range(1, self.random.randint(4, 6))]
        self.discovery.publish(*(exchange.entry() for exchange in self.exchanges))
        self.nodes = [self.new_node(number) for number in range(self.random.randint(2, 3))]

    def new_node(self, number):
        port = self.ports.free_port()
        path = self.folder / f"node-{number}.json"

        def environment():
            path.write_text(json.dumps(self.node_config(number, port)))
            return {"EDGE_CONFIG": str(path), "EDGE_LISTEN": f"127.0.0.1:{port}"}

        node = Node(f"node-{number}", self.folder / f"node-{number}.log", environment, "serving ")
        node.port, node.accepting = port, False
        return node

    def node_config(self, number, port):
        services = [
            {
                "name": "rate-quote",
                "target_s": min(1.5, self.deadline_s),
                "deadline_s": self.deadline_s,
                "worth": 1.0,
                "late_worth": 0.1,
            }
        ]
        family = {**SETTINGS["family_info"], "widths": [1], "call_length_s": [1.5]}
        settings = {**SETTINGS, "services": services, "family_info": family}
        return {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "seed": f"{self.random.randrange(2**32):x}",
            "channel": self.discovery.address,
            "settings": settings,
            "known": self.discovery.known(),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
        }

    def caller_config(self):
        return {
            "callers": 12 if self.is_crowded else 4,
            "gap_s": 0.03 if self.is_crowded else 0.12,
            "class": "rate-quote",
            "tenant": SETTINGS["accounts"][0]["name"],
            "destinations": [exchange.number for exchange in self.exchanges],
        }

    # ---- faults

    def schedule_faults(self):
        choose = self.random
        self.faults.at(choose.uniform(0.5, 3.0), "shutdowns", self.shut_down_in_series)
        for _ in range(choose.randint(1, 3)):
            exchange = choose.choice(self.exchanges)
            duration_s = choose.uniform(0.3, 5.0)
            self.fault_at_exchange("hang", exchange, lambda e=exchange, d=duration_s: self.hang(e, d))
        for _ in range(choose.randint(0, 2)):
            proxied = [exchange for exchange in self.exchanges if exchange.proxy is not None]
            if proxied:
                exchange = choose.choice(proxied)
                duration_s = choose.uniform(0.2, 3.0)
                self.fault_at_exchange("cut", exchange, lambda e=exchange, d=duration_s: self.cut(e, d))
                self.fault_at_exchange("reset", exchange, lambda e=exchange: e.proxy.command("reset"))
        index = choose.randrange(len(self.exchanges))
        replaced_at = choose.uniform(0, FAULTS_S - 3)
        if choose.random() < 0.7:
            outage_s = choose.choice([1.0, 3.0, 5.0])
            fault = choose.choice([self.discovery_silent, self.discovery_down])
            begins_at = choose.uniform(0, 4)
            self.faults.at(begins_at, "discovery", lambda: fault(outage_s))
            if choose.random() < 0.6:  # the drain comes close to the return of discovery
                replaced_at = max(begins_at + outage_s - NEW_EXCHANGE_READY_S + choose.uniform(-0.5, 0.5), 0)
        elif choose.random() < 0.8:
            self.faults.at(choose.uniform(0, 5), "discovery", self.move_discovery)
        if choose.random() < 0.7:
            name = self.exchanges[index].name
            self.faults.at(replaced_at, "replace", lambda: self.replace_exchange(index), name=name)
        if choose.random() < 0.4:
            other = self.exchanges[index - 1]
            self.fault_at_exchange("vanish", other, lambda: self.restart_exchange(other))
        if choose.random() < 0.3:
            self.faults.at(choose.uniform(0, FAULTS_S), "kill", self.kill_node)

    def cut(self, exchange, duration_s):
        exchange.proxy.command("cut")
        time.sleep(duration_s)
        exchange.proxy.command("heal")

    def replace_exchange(self, index):
        """A new exchange takes over; the old one drains and then ends."""
        old = self.exchanges[index]
        new = Exchange(self, old.number, generation=1, since_ms=int(time.time() * 1000))
        time.sleep(NEW_EXCHANGE_READY_S)
        self.retired.append(old)
        self.exchanges[index] = new
        self.discovery.publish(old.entry("Terminating"), new.entry())
        time.sleep(self.random.uniform(1.0, 4.0))
        old.kill()
        self.discovery.publish(old.entry("Gone"))

    def restart_exchange(self, exchange):
        """The process is killed, and another one comes up at its address; the list tells it late."""
        exchange.kill()
        exchange.since_ms = int(time.time() * 1000)
        exchange.start()
        time.sleep(self.random.uniform(0.0, 1.5))
        if exchange in self.exchanges:
            self.discovery.publish(exchange.entry())

    def discovery_silent(self, duration_s):
        self.discovery.silent = True
        time.sleep(duration_s)
        self.discovery.silent = False

    def discovery_down(self, duration_s):
        self.discovery.down()
        time.sleep(duration_s)
        self.discovery.up()

    def move_discovery(self):
        """New configurations in quick succession."""
        for _ in range(5):
            self.discovery.move()
            for number, node in enumerate(self.nodes):
                path = self.folder / f"node-{number}.json"
                replacement = path.with_suffix(".new")
                replacement.write_text(json.dumps(self.node_config(number, node.port)))
                replacement.replace(path)
                if node.accepting:
                    node.signal(signal.SIGHUP)
            time.sleep(self.random.uniform(0.02, 0.8))

    def check(self, events):
        return check_platform(events)

    def close(self):
        super().close()
        self.discovery.close()
