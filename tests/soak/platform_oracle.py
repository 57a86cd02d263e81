"""The rules of the platform's protocol, checked on the record of a run. Each violation is one line of text.

Bounds are those of the protocol page: each time limit is 50 ms longer than its figure.
"""

from collections import defaultdict
from dataclasses import dataclass, field

LATE_S = 0.55  # up to half a second after its time an answer only earns nothing
DRAIN_S = 0.30  # after the program was told
TOLD_AFTER_S = 7.0  # an event counts as told so long after its publication
TOLD_AFTER_OUTAGE_S = 6.0  # the same, from when discovery can be reached again
PROMPT_TOLD_S = 0.5  # without an outage polls are answered within this; the last answer counts
RELEASE_S, LATE_RELEASE_S = 1.05, 8.05  # of a call that is over: its release; if none could be sent
DISTURBED_S = 5.0  # so long after a hang, cut or reset an exchange may read old bytes in another order
MAX_SHUTDOWN_S = 3.7  # a process that got SIGTERM has been replaced after this
GOING_ON_S = 0.1  # after a hang or a cut, until what has waited is read
RESET_CROSSING_S = 0.1  # between an answer and a reset of its connection that cross each other
KILL_S = 0.3  # an unanswered set-up belongs to the kill of its node if its connection ended so soon after


@dataclass
class Call:
    """What callers and exchanges recorded of one call."""

    launches: list = field(default_factory=list)
    finals: list = field(default_factory=list)  # running and stop, in order
    over_at: float | None = None  # when the caller gave up or hung up
    given_up: bool = False
    reset_at: float | None = None  # when the caller reset the connection of the set-up
    unanswered: list = field(default_factory=list)
    stays: list = field(default_factory=list)  # Stay
    attempts: list = field(default_factory=list)  # Stay


@dataclass
class Stay:
    """The time for which an attempt was out, or a call stood, at an exchange."""

    exchange: str
    began_at: float
    ended_at: float | None = None
    how: str = ""
    ended_on_own_connection: bool = False  # the end was sent on the connection of the set-up


class PlatformOracle:
    """Reads the events of a run once, and checks each rule on what they add up to."""

    def __init__(self, events):
        self.events = events
        self.calls = defaultdict(Call)
        self.faults = []  # kind, name, began, over
        self.published = []
        self.told = []  # time, cursor
        self.node_kills = []  # time, port
        self.restarts = []  # time of the signal, port
        self.second_attempts = []  # set-ups that came to an exchange while one of their call was open there
        self.violations = []
        self.end_at = events[-1]["time"]
        for event in events:
            handler = getattr(self, "on_" + event["event"].replace("-", "_"), None)
            if handler is not None:
                handler(event)

    def fail(self, text):
        self.violations.append(text)

    # ---- events

    def on_launch(self, event):
        self.calls[event["call"]].launches.append(event)

    def on_running(self, event):
        call = self.calls[event["call"]]
        call.finals.append(event)
        if event["body"] != f"v=0 {event['call']}":
            self.fail(f"answer of no exchange for {event['call']}: {event['body']!r}")

    def on_stop(self, event):
        self.calls[event["call"]].finals.append(event)

    def on_given_up(self, event):
        call = self.calls[event["call"]]
        call.given_up = True
        call.over_at = call.over_at or event["time"]
        if event.get("reset"):
            call.reset_at = event["time"]

    def on_hung_up(self, event):
        call = self.calls[event["call"]]
        call.over_at = call.over_at or event["time"]

    def on_unanswered(self, event):
        self.calls[event["call"]].unanswered.append(event)

    def on_partial(self, event):
        self.fail(f"a line was not whole: {event['data'][:60]!r}")

    def on_set_up(self, event):
        self.calls[event["call"]].attempts.append(Stay(event["source"], event["time"]))
        if event["second"] and not self.is_disturbed(event["source"], event["time"]):
            self.second_attempts.append(event)

    def last(self, stays, exchange):
        return next(
            (stay for stay in reversed(stays) if stay.exchange == exchange and not stay.ended_at), None
        )

    def on_attempt_over(self, event):
        self.end_stay(self.calls[event["call"]].attempts, event, event["why"])

    def on_answered(self, event):
        call = self.calls[event["call"]]
        self.end_stay(call.attempts, event, "answered")
        call.stays.append(Stay(event["source"], event["time"]))

    def on_ended(self, event):
        stay = self.end_stay(self.calls[event["call"]].stays, event, "ended")
        if stay is not None:
            stay.ended_on_own_connection = event["on_own_connection"]

    def on_released(self, event):
        call = self.calls[event["call"]]
        self.end_stay(call.attempts, event, "released")
        self.end_stay(call.stays, event, "released")

    def end_stay(self, stays, event, how):
        stay = self.last(stays, event["source"])
        if stay is not None:
            stay.ended_at, stay.how = event["time"], how
        return stay

    def on_exchange_killed(self, event):
        for call in self.calls.values():
            for stays in (call.attempts, call.stays):
                self.end_stay(stays, {**event, "source": event["name"]}, "killed")
        self.faults.append(("killed", event["name"], event["time"], event["time"]))

    def on_fault(self, event):
        if event["kind"] == "restart":
            self.restarts.append((event["time"], event["node"]))
        self.faults.append((event["kind"], event.get("name"), event["time"], None))

    def on_fault_over(self, event):
        for index, (kind, name, began, over) in enumerate(self.faults):
            if over is None and (kind, name) == (event["kind"], event.get("name")):
                self.faults[index] = kind, name, began, event["time"]
                return

    def on_publish(self, event):
        self.published.append(event)

    def on_told(self, event):
        self.told.append((event["time"], event["cursor"]))

    def on_node_killed(self, event):
        self.node_kills.append((event["time"], event["port"]))

    def on_killed_at_limit(self, event):
        self.fail(f"the process at port {event['port']} was still there at the earliest SIGKILL")

    def on_exit_code(self, event):
        self.fail(f"the process at port {event['port']} ended with {event['code']}")

    # ---- what the faults excuse

    def is_disturbed(self, exchange, time):
        """Whether the exchange hung, was cut off or reset shortly before."""
        return any(
            name == exchange and began <= time and (over is None or time <= over + DISTURBED_S)
            for kind, name, began, over in self.faults
            if kind in ("hang", "cut", "reset", "vanish", "killed")
        )

    def was_calm(self, began, ended):
        """Whether no fault of any kind fell into the time."""
        return not any(
            fault_began <= ended and (over is None or over >= began)
            for kind, _, fault_began, over in self.faults
            if kind != "shutdowns"
        )

    def last_hang_over(self, exchange, time):
        """When the exchange last went on after a hang or a cut that began before the time; else the time."""
        ends = [
            over
            for kind, name, began, over in self.faults
            if kind in ("hang", "cut")
            and name == exchange
            and over is not None
            and began <= time + LATE_RELEASE_S
        ]
        return max([time, *ends])

    def was_node_replaced(self, call, until):
        """Whether another process took the place of the one that set up the call."""
        launch = call.launches[-1]
        return any(
            port == launch["port"] and launch["time"] - MAX_SHUTDOWN_S <= time <= until
            for time, port in self.restarts + self.node_kills
        )

    def was_node_killed(self, call):
        """Whether the node of the call's last set-up was killed outright while it was unanswered."""
        launch = call.launches[-1]
        limit = call.unanswered[-1]["time"] if call.unanswered else launch["time"] + launch["left_s"]
        return any(
            port == launch["port"] and launch["time"] - KILL_S <= killed_at <= limit + KILL_S
            for killed_at, port in self.node_kills
        )

    # ---- rules

    def due(self, uid, call):
        """When the final answer is late."""
        launch = call.launches[-1]
        return launch["time"] + launch["left_s"] + LATE_S

    def check_answers(self):
        """One final answer for each set-up that was not given up, in time."""
        for uid, call in self.calls.items():
            if not call.launches:
                continue
            due = self.due(uid, call)
            if not call.finals:
                if not call.given_up and not self.was_node_killed(call) and due < self.end_at:
                    where = f", closed after {call.unanswered[-1]['age_s']:.3f} s" if call.unanswered else ""
                    self.fail(f"lost: {uid} has no answer{where}")
                continue
            first = call.finals[0]
            if first["time"] > due and not call.given_up and not self.was_node_killed(call):
                self.fail(f"late: {uid} answered {first['time'] - due:.3f} s too late")
            if self.was_node_killed(call):
                continue
            if first["event"] == "stop" and not call.given_up and not self.ended_out_of_reach(call):
                for later in call.finals[1:]:
                    self.fail(
                        f"second answer: {uid} refused with {first['reason']}, then {later['event']}"
                        f" {later.get('reason')} {later['time'] - first['time']:.2f} s later"
                    )
            if sum(final["event"] == "running" for final in call.finals) > 1:
                self.fail(f"second answer: {uid} running twice")

    def ended_out_of_reach(self, call):
        """Whether the exchange ended the call by itself while no release could reach it.

        Its report then goes to a process that cannot know that another one has refused the call: frames carry
        the call's id alone, and a process starts from nothing. The same holds if the release was thrown away
        on its way and the process that had sent it was replaced.
        """
        refused_at = call.finals[0]["time"]
        return any(
            stay.how == "ended"
            and (
                self.is_out_of_reach(stay.exchange, stay.ended_at)
                or (
                    self.was_reset_in_a_cut(stay.exchange, refused_at)
                    and self.was_node_replaced(call, stay.ended_at)
                )
            )
            for stay in call.stays
        )

    def is_out_of_reach(self, exchange, time):
        """Whether the exchange hung or was cut off, or has gone on only just now."""
        return any(
            name == exchange and began <= time and (over is None or time <= over + GOING_ON_S)
            for kind, name, began, over in self.faults
            if kind in ("hang", "cut")
        )

    def check_attempts(self):
        """Never two attempts of a call at a time."""
        for event in self.second_attempts:
            # A caller takes the reset of a killed node's connection for a close that its set-up has crossed.
            if not any(abs(killed_at - event["time"]) < KILL_S for killed_at, _ in self.node_kills):
                self.fail(f"second attempt of {event['call']} at {event['source']} while one is out")
        for uid, call in self.calls.items():
            open_times = sorted(call.attempts + call.stays, key=lambda stay: stay.began_at)
            for earlier in open_times:
                for attempt in call.attempts:
                    if attempt.exchange == earlier.exchange or attempt.began_at <= earlier.began_at:
                        continue
                    if earlier.ended_at is not None and earlier.ended_at <= attempt.began_at:
                        continue
                    if self.was_sent_again_after_kill(call, attempt):
                        continue
                    if any(
                        self.is_disturbed(stay.exchange, attempt.began_at) for stay in (earlier, attempt)
                    ) or self.is_disturbed(earlier.exchange, earlier.ended_at or self.end_at):
                        continue
                    self.fail(f"two attempts: {uid} at {earlier.exchange} and {attempt.exchange}")

    def was_sent_again_after_kill(self, call, attempt):
        """Whether the caller sent the set-up to another node, since the one before was killed outright.

        It takes the end of the connection for a close that its set-up has crossed; the exchange may not have
        seen the end of its own connection by then.
        """
        return any(
            port == launch["port"] and launch["time"] <= killed_at <= attempt.began_at
            for launch in call.launches[:-1]
            for killed_at, port in self.node_kills
        )

    def check_drains(self):
        """No set-up at an exchange later than the limit after the program was told that it drains."""
        for publication in self.published:
            if publication["status"] in ("Ready", "passing"):
                continue
            limit = self.told_at(publication) + DRAIN_S
            for uid, call in self.calls.items():
                for attempt in call.attempts:
                    if attempt.exchange != publication["name"] or attempt.began_at <= limit:
                        continue
                    if not self.is_disturbed(attempt.exchange, attempt.began_at):
                        late_s = attempt.began_at - limit
                        self.fail(f"drain: {uid} set up at {attempt.exchange} {late_s:.3f} s too late")

    def told_at(self, publication):
        """When the programs count as told of a publication."""
        published_at = publication["time"]
        for kind, _, began, over in self.faults:
            if kind == "discovery" and began <= published_at <= over + TOLD_AFTER_OUTAGE_S:
                return min(published_at + TOLD_AFTER_S, max(published_at, over) + TOLD_AFTER_OUTAGE_S)
        prompt = [
            told_at
            for told_at, cursor in self.told
            if cursor >= publication["cursor"] and published_at <= told_at <= published_at + PROMPT_TOLD_S
        ]
        return max(prompt, default=published_at + PROMPT_TOLD_S)

    def check_releases(self):
        """What has stood and is over is released, towards its caller and its exchange."""
        for uid, call in self.calls.items():
            if not call.launches or self.was_node_killed(call):
                continue
            running = next((final for final in call.finals if final["event"] == "running"), None)
            stops = [final["time"] for final in call.finals if final["event"] == "stop"]
            for stay in call.stays:
                self.check_release_to_caller(uid, call, stay, running, stops)
                self.check_release_to_exchange(uid, call, stay, running, stops)

    def check_release_to_caller(self, uid, call, stay, running, stops):
        if running is None or stay.how not in ("ended", "killed"):
            return
        if call.over_at is not None and call.over_at <= stay.ended_at + LATE_RELEASE_S:
            return
        replaced = self.was_node_replaced(call, stay.ended_at + LATE_RELEASE_S)
        if replaced and (stay.how == "killed" or self.was_killed_after(stay)):
            return  # nobody is left who knows the call
        if replaced and self.was_reset_in_a_cut(stay.exchange, stay.ended_at):
            return  # the exchange's message was thrown away on its way, and nobody else knows the call
        calm = (
            stay.ended_on_own_connection  # any other may lead to a node without callers
            and not replaced
            and self.was_calm(stay.ended_at - 0.5, stay.ended_at + RELEASE_S)
        )
        due = self.last_hang_over(stay.exchange, stay.ended_at) + (RELEASE_S if calm else LATE_RELEASE_S)
        if due < self.end_at and not any(time <= due for time in stops):
            told = f"after {stops[0] - stay.ended_at:.2f} s" if stops else "never"
            self.fail(
                f"release: the caller of {uid} was told {told} of its end ({stay.how}) at {stay.exchange}"
            )

    def was_reset_in_a_cut(self, exchange, time):
        """Whether connections on which bytes were held back were reset after the time."""
        return any(
            kind == "reset" and name == exchange and began >= time and self.is_out_of_reach(exchange, began)
            for kind, name, began, _ in self.faults
        )

    def was_killed_after(self, stay):
        """Whether the exchange was killed before it could tell the next process of the end."""
        return any(
            kind == "killed" and name == stay.exchange and 0 <= began - stay.ended_at <= LATE_RELEASE_S
            for kind, name, began, _ in self.faults
        )

    def check_release_to_exchange(self, uid, call, stay, running, stops):
        if call.reset_at is not None and abs(call.reset_at - stay.began_at) < RESET_CROSSING_S:
            return  # the answer may have reached the caller's system, and the call then stands
        over_times = [time for time in (call.over_at, *stops[:1]) if time is not None]
        if not over_times:
            return
        over_at = max(min(over_times), stay.began_at)
        due = self.last_hang_over(stay.exchange, over_at) + LATE_RELEASE_S
        if any(abs(killed_at - over_at) < KILL_S for killed_at, _ in self.node_kills):
            return  # the caller's release may have gone to the process that was killed
        if self.was_reset_in_a_cut(stay.exchange, over_at) and self.was_node_replaced(call, due):
            return  # the release was on its way when the process ended, and was thrown away there
        if due < self.end_at and (stay.ended_at is None or stay.ended_at > due):
            self.fail(f"left standing: {uid} at {stay.exchange}, over for {self.end_at - over_at:.1f} s")


def check_platform(events):
    """The violations in the events of a run."""
    oracle = PlatformOracle(events)
    oracle.check_answers()
    oracle.check_attempts()
    oracle.check_drains()
    oracle.check_releases()
    return oracle.violations
