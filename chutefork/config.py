"""What the operator tells a call controller, read from its JSON; bad values are named by their key."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from . import interface as api
from .core import messages
from .net.clock import UnixPlace
from .net.connection import log


class ConfigError(Exception):
    """The configuration cannot be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    channel: str
    cursor: int
    known: list
    settings: api.Settings
    class_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    connect_timeout_s: float
    deadline_s: float
    idle_close_s: float
    sockets: int
    memory_mb: float


class Node:
    """A JSON object that names the path of whatever is missing or of the wrong kind."""

    def __init__(self, value: object, path: str = "") -> None:
        if not isinstance(value, dict):
            raise ConfigError(f"{path or 'configuration'}: an object is needed")
        self.value = value
        self.path = path

    def _at(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, kinds: type | tuple[type, ...], default: object = None) -> object:
        value = self.value.get(key, default)
        if value is None or not isinstance(value, kinds) or (isinstance(value, bool) and kinds is not bool):
            raise ConfigError(f"{self._at(key)}: missing or not usable, is {value!r}")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        return self.get(key, (int, float), default)

    def text(self, key: str, default: str | None = None) -> str:
        return self.get(key, str, default)

    def flag(self, key: str) -> bool:
        return self.get(key, bool)

    def node(self, key: str) -> Node:
        return Node(self.value.get(key), self._at(key))

    def nodes(self, key: str) -> list[Node]:
        return [Node(item, f"{self._at(key)}[{place}]") for place, item in enumerate(self.get(key, list))]

    def numbers(self, key: str) -> list[float]:
        value = self.get(key, list)
        if not all(isinstance(item, int | float) and not isinstance(item, bool) for item in value):
            raise ConfigError(f"{self._at(key)}: numbers are needed")
        return value


def address_of(text: str, key: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: not an address with a port: {text!r}")
    return host, int(port)


def settings_of(node: Node, seed: int) -> tuple[api.Settings, tuple[str, ...], tuple[str, ...]]:
    family, limits, rules = node.node("family_info"), node.node("limits"), node.node("rules")
    services = node.nodes("services")
    widths, lengths = family.numbers("widths"), family.numbers("call_length_s")
    for key, values in (("widths", widths), ("call_length_s", lengths)):
        if len(values) != len(services):
            raise ConfigError(f"settings.family_info.{key}: {len(values)} values, {len(services)} classes")
    classes = tuple(
        api.CallClass(
            aim_s=item.number("target_s"),
            deadline_s=item.number("deadline_s"),
            worth=item.number("worth"),
            late_worth_share=item.number("late_worth"),
            width_circuits=int(widths[place]),
            length_s=lengths[place],
            pools=(),
        )
        for place, item in enumerate(services)
    )
    accounts = node.nodes("accounts") if "accounts" in node.value else []
    if family.text("network_form") != "network":
        raise ConfigError("settings.family_info.network_form: only 'network' is served")
    try:
        settings = api.Settings(
            seed=seed,
            own_number=int(family.number("self_no")),
            controllers=int(node.number("balancers")),
            pools_form=False,
            classes=classes,
            tenants=tuple(api.Tenant(item.number("quota_per_s")) for item in accounts),
            over_share_worth=node.number("over_share_worth"),
            release_s=family.number("release_s"),
            resend_s=family.number("retransmit_s"),
            max_attempts=int(limits.number("max_attempts")),
            probes_allowed=limits.flag("probes"),
            messages_allowed=limits.flag("peers"),
            hold_off_allowed=limits.flag("retry_after"),
            max_hold_off_s=limits.number("max_retry_after_s"),
            list_on_request=False,
            ask_within_s=rules.number("ask_within_s"),
            drain_grace_s=rules.number("stop_sending_within_s"),
            cold_share=rules.number("cold_share"),
            warm_up_s=rules.number("warm_up_s"),
            tip_multiple=rules.number("tip_multiple"),
            fall_s=rules.number("fall_s"),
            tick_s=node.number("tick_s"),
        )
    except ValueError as fault:
        raise ConfigError(f"settings: {fault}") from None
    names = tuple(item.text("name") for item in services)
    return settings, names, tuple(item.text("name") for item in accounts)


def parse(text: str) -> Config:
    try:
        root = Node(json.loads(text))
    except ValueError as fault:
        raise ConfigError(f"configuration: not JSON: {fault}") from None
    seed_text = root.text("seed")
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {seed_text!r}") from None
    inner = root.node("settings")
    settings, class_names, tenant_names = settings_of(inner, seed)
    known = root.node("known")
    limits = root.node("limits") if "limits" in root.value else Node({}, "limits")
    for key in ("sockets", "memory_mb"):
        if not limits.number(key, 192) > 0:
            raise ConfigError(f"limits.{key}: not a limit")
    channel = root.text("channel")
    address_of(channel, "channel")
    return Config(
        name=root.text("name"),
        listen=address_of(root.text("listen"), "listen"),
        channel=channel,
        cursor=int(known.number("cursor")),
        known=known.get("cmds", list),
        settings=settings,
        class_names=class_names,
        tenant_names=tenant_names,
        connect_timeout_s=inner.node("limits").number("connect_timeout_s"),
        deadline_s=max(item.deadline_s for item in settings.classes),
        idle_close_s=inner.node("limits").number("idle_close_s", 600.0),
        sockets=int(limits.number("sockets", 1024)),
        memory_mb=limits.number("memory_mb", 192),
    )


def load(path: str) -> Config:
    try:
        return parse(Path(path).read_text(encoding="utf-8"))
    except OSError as fault:
        raise ConfigError(f"EDGE_CONFIG: {path!r} cannot be read: {fault.strerror}") from None
    except (ValueError, OverflowError, RecursionError) as fault:  # not UTF-8, a number like 1e999
        raise ConfigError(f"configuration: not usable: {type(fault).__name__}: {fault}") from None


STATES = {
    "Ready": api.SwitchState.READY,
    "Terminating": api.SwitchState.DRAINING,
    "Gone": api.SwitchState.GONE,
}


def hubs_of(command: dict, place: UnixPlace) -> messages.HubsListed | None:
    """One event of the command channel as the core's; None where it is of a kind not known here."""
    nodes = command.get("nodes") if isinstance(command, dict) else ()
    if nodes is None:
        return None
    if not isinstance(nodes, dict) or not isinstance(nodes.get("endpoints"), list):
        log("bad-event detail='no list of endpoints'")
        return None
    hubs = []
    for item in nodes["endpoints"]:
        try:
            address_of(item["address"], "address")
            hubs.append(
                messages.Hub(
                    str(item["name"]),
                    int(item["group"]),
                    STATES[item["status"]],
                    item["address"],
                    place.monotonic_us(float(item.get("since_ms", 0))),
                )
            )
        except (ConfigError, ValueError, KeyError, TypeError, AttributeError, OverflowError) as fault:
            log(f"bad-endpoint detail={f'{type(fault).__name__}: {fault}'[:160]!r}")
    kind = api.ListKind.COMPLETE if nodes.get("snapshot") else api.ListKind.CHANGES
    return messages.HubsListed(kind, tuple(hubs))
