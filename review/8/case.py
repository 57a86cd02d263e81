"""Consul restarts with an empty catalogue while calls stand; other services register before the hubs do."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from platform_standins import TROUBLE, CannotRun, run_case, wait_until  # noqa: E402
from sip_standins import Counter, FakeConsul, Hub, start_sip_program  # noqa: E402

DOWN_S = 2.0  # Consul is away for so long
OTHER_SERVICES = 20  # of the site, registered with the new Consul before the hubs are
HUBS_BACK_AFTER_S = 10.0  # the hubs' agents register them again


class RestartedConsul(FakeConsul):
    """A Consul without hubs, whose index counts the other services that have registered with it before."""

    @property
    def index(self):
        """The present index, at least 1 and the other services' registrations."""
        return max(self.steps, 1 + OTHER_SERVICES)

    @index.setter
    def index(self, value):
        self.steps = value


def play(record, folder, cleanup):
    """Plays the case and returns what broke the rule."""
    consul = FakeConsul()
    consul.wait_s = 5.0
    hubs = [Hub(record, f"hub-{number}") for number in (1, 2)]
    for number, hub in enumerate(hubs, 1):
        cleanup.callback(hub.close)
        hub.serve()
        consul.set_service(f"hub-{number}", number, hub)
    program, address = start_sip_program(record, consul, folder)
    cleanup.callback(program.close)
    consul.wait_for_queries(consul.index)
    standing = Counter(record, "caller-1").connect(address)
    cleanup.callback(standing.close)
    answer = standing.call("100")
    if answer is None or answer.code != 200:
        raise CannotRun(f"the first call was not answered: {answer}")

    if TROUBLE:
        index, services = consul.index, dict(consul.services)
        record("trouble", f"Consul ends; its index was {index}")
        consul.close()
        time.sleep(DOWN_S)
        consul = RestartedConsul(consul.port)
        consul.wait_s = 5.0
        record("trouble", f"Consul is back with an empty catalogue of hubs, index {consul.index}")
        wait_until(lambda: len(consul.queries) >= 4, "queries after the restart", 30)
    cleanup.callback(lambda: consul.close())
    time.sleep(1.0)

    broken = []
    caller = Counter(record, "caller-2").connect(address)
    cleanup.callback(caller.close)
    answer = caller.call("100")
    if answer is not None and answer.code == 404:  # "no route": any other response is no sign of empty routes
        broken.append(f"the routes are empty: a new call got {answer}")
    end = standing.receive(0.5)
    if end is not None and end.method == "BYE":
        broken.append("the call that stood at hub-1 was ended towards its caller, who had not ended it")
    if hubs[0].byes:
        broken.append("the call that stood was ended towards hub-1")
    if TROUBLE:
        time.sleep(HUBS_BACK_AFTER_S)
        consul.register(services)
        record("trouble", "the hubs have registered again")
    time.sleep(1.0)
    if not program.alive():
        broken.append("the program has ended")
    return broken


run_case(HERE, play)
