"""The rules of the platform's protocol as they hold for SIP, checked on the record of a run."""

from .platform_oracle import LATE_S, PROMPT_TOLD_S, PlatformOracle

START_S = 3.0  # a process that takes another one's place answers INVITEs after this at the latest


class SipOracle(PlatformOracle):
    """Differs from the platform's oracle in what counts as a second answer and from when time counts."""

    def __init__(self, events):
        self.heard_at = {}  # by call: the first provisional response
        super().__init__(events)

    def on_proceeding(self, event):
        self.heard_at.setdefault(event["call"], event["time"])

    def due(self, uid, call):
        """An INVITE over UDP that no process has heard of yet is repeated until the next process is there."""
        launch = call.launches[-1]
        began = self.heard_at.get(uid, launch["time"])
        replaced = any(
            port == launch["port"] and abs(time - launch["time"]) < START_S + LATE_S
            for time, port in self.restarts + self.node_kills
        )
        if uid not in self.heard_at and replaced:
            began += START_S
        return began + launch["left_s"] + LATE_S

    def check_release_to_exchange(self, uid, call, stay, running, stops):
        over_at = min([time for time in (call.over_at, *stops[:1]) if time is not None], default=None)
        if over_at is not None and self.is_out_of_reach(stay.exchange, over_at):
            until = self.last_hang_over(stay.exchange, over_at)
            if self.was_node_replaced(call, until):
                return  # datagrams that a hung hub had no room for are repeated by nobody
        super().check_release_to_exchange(uid, call, stay, running, stops)

    def told_at(self, publication):
        told = super().told_at(publication)
        return max(told, publication["time"] + PROMPT_TOLD_S)


def check_sip(events):
    """The violations in the events of a run."""
    oracle = SipOracle(events)
    oracle.check_answers()
    oracle.check_drains()
    oracle.check_releases()
    return oracle.violations
