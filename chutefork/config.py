"""Reads the JSON configuration of a call controller and the exchange lists of its command channel.

Every ConfigError names the key of the bad value.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from . import interface as api
from .core import messages
from .net.clock import UnixClock
from .net.connection import log


class ConfigError(Exception):
    """An invalid configuration; the text starts with the path of the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of the caller frontend, the exchange connections and the command channel."""

    name: str
    listen: tuple[str, int]
    channel_address: str  # host:port of the command channel
    initial_cursor: int  # the command channel is polled for commands after this number
    initial_commands: list  # commands to apply at start, in the command channel's form
    settings: api.Settings
    class_names: tuple[str, ...]  # in the order of settings.classes
    tenant_names: tuple[str, ...]  # in the order of settings.tenants
    connect_timeout_s: float
    longest_deadline_s: float  # of all call classes
    idle_close_s: float
    max_sockets: int
    memory_mb: float


class ConfigSection:
    """A JSON or TOML object with typed access to its members.

    A member that is missing and has no default, or has the wrong type, raises ConfigError with its path.
    """

    def __init__(self, value: object, path: str = "") -> None:
        if not isinstance(value, dict):
            raise ConfigError(f"{path or 'configuration'}: must be an object")
        self.value = value
        self.path = path

    def _path_to(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, types: type | tuple[type, ...], default: object = None) -> object:
        """The member, of one of the types; a boolean does not count as a number."""
        value = self.value.get(key, default)
        if value is None or not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
            raise ConfigError(f"{self._path_to(key)}: missing or of the wrong type, is {value!r}")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        return self.get(key, (int, float), default)

    def text(self, key: str, default: str | None = None) -> str:
        return self.get(key, str, default)

    def flag(self, key: str) -> bool:
        return self.get(key, bool)

    def section(self, key: str) -> ConfigSection:
        return ConfigSection(self.value.get(key), self._path_to(key))

    def sections(self, key: str) -> list[ConfigSection]:
        return [
            ConfigSection(member, f"{self._path_to(key)}[{index}]")
            for index, member in enumerate(self.get(key, list))
        ]

    def numbers(self, key: str) -> list[float]:
        value = self.get(key, list)
        if not all(isinstance(number, int | float) and not isinstance(number, bool) for number in value):
            raise ConfigError(f"{self._path_to(key)}: must be a list of numbers")
        return value


def parse_address(text: str, key: str) -> tuple[str, int]:
    """Splits `host:port`; port 0 is allowed. Anything else raises ConfigError, naming `key`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: not of the form host:port: {text!r}")
    return host, int(port)


def parse_settings(config: ConfigSection, seed: int) -> tuple[api.Settings, tuple[str, ...], tuple[str, ...]]:
    """The controller's settings, and the names of the call classes and of the tenants in index order.

    `config` is the `settings` section. Raises ConfigError.
    """
    network, limits, rules = config.section("family_info"), config.section("limits"), config.section("rules")
    services = config.sections("services")
    widths, call_lengths_s = network.numbers("widths"), network.numbers("call_length_s")
    for key, values in (("widths", widths), ("call_length_s", call_lengths_s)):
        if len(values) != len(services):
            raise ConfigError(
                f"settings.family_info.{key}: {len(values)} values for {len(services)} services"
            )
    classes = tuple(
        api.CallClass(
            aim_s=service.number("target_s"),
            deadline_s=service.number("deadline_s"),
            worth=service.number("worth"),
            late_worth_share=service.number("late_worth"),
            width_circuits=int(widths[index]),
            length_s=call_lengths_s[index],
            pools=(),
        )
        for index, service in enumerate(services)
    )
    accounts = config.sections("accounts") if "accounts" in config.value else []
    if network.text("network_form") != "network":
        raise ConfigError("settings.family_info.network_form: only 'network' is supported")
    try:
        settings = api.Settings(
            seed=seed,
            own_number=int(network.number("self_no")),
            controllers=int(config.number("balancers")),
            pools_form=False,
            classes=classes,
            tenants=tuple(api.Tenant(account.number("quota_per_s")) for account in accounts),
            over_share_worth=config.number("over_share_worth"),
            release_s=network.number("release_s"),
            resend_s=network.number("retransmit_s"),
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
            tick_s=config.number("tick_s"),
        )
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    class_names = tuple(service.text("name") for service in services)
    return settings, class_names, tuple(account.text("name") for account in accounts)


def parse(text: str) -> Config:
    """Parses and validates the JSON text.

    Raises ConfigError, or what int() and the JSON parser raise for infinite numbers and deep nesting.
    """
    try:
        root = ConfigSection(json.loads(text))
    except ValueError as error:
        raise ConfigError(f"configuration: not JSON: {error}") from None
    seed_text = root.text("seed")
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {seed_text!r}") from None
    settings_section = root.section("settings")
    settings, class_names, tenant_names = parse_settings(settings_section, seed)
    known_exchanges = root.section("known")
    limits = root.section("limits") if "limits" in root.value else ConfigSection({}, "limits")
    for key in ("sockets", "memory_mb"):
        if not limits.number(key, 192) > 0:
            raise ConfigError(f"limits.{key}: must be above 0")
    channel = root.text("channel")
    parse_address(channel, "channel")
    return Config(
        name=root.text("name"),
        listen=parse_address(root.text("listen"), "listen"),
        channel_address=channel,
        initial_cursor=int(known_exchanges.number("cursor")),
        initial_commands=known_exchanges.get("cmds", list),
        settings=settings,
        class_names=class_names,
        tenant_names=tenant_names,
        connect_timeout_s=settings_section.section("limits").number("connect_timeout_s"),
        longest_deadline_s=max(call_class.deadline_s for call_class in settings.classes),
        idle_close_s=settings_section.section("limits").number("idle_close_s", 600.0),
        max_sockets=int(limits.number("sockets", 1024)),
        memory_mb=limits.number("memory_mb", 192),
    )


def load(path: str) -> Config:
    """Reads the file that EDGE_CONFIG names. Raises ConfigError if it cannot be read or is invalid."""
    try:
        return parse(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path!r} cannot be read: {error.strerror}") from None
    except (ValueError, OverflowError, RecursionError) as error:  # not UTF-8, 1e999, deep nesting
        raise ConfigError(f"configuration: invalid: {type(error).__name__}: {error}") from None


STATE_BY_STATUS = {
    "Ready": api.SwitchState.READY,
    "Terminating": api.SwitchState.DRAINING,
    "Gone": api.SwitchState.GONE,
}


def hub_list_event(command: dict, unix_clock: UnixClock) -> messages.HubsListed | None:
    """Converts a command of the command channel to an event for the reducer.

    None for a command of another kind, and for one without a list of endpoints, which is logged. Endpoints
    that cannot be read are logged and left out.
    """
    nodes = command.get("nodes") if isinstance(command, dict) else ()
    if nodes is None:
        return None
    if not isinstance(nodes, dict) or not isinstance(nodes.get("endpoints"), list):
        log("bad-event detail='no list of endpoints'")
        return None
    hubs = []
    for endpoint in nodes["endpoints"]:
        try:
            parse_address(endpoint["address"], "address")
            hubs.append(
                messages.Hub(
                    str(endpoint["name"]),
                    int(endpoint["group"]),
                    STATE_BY_STATUS[endpoint["status"]],
                    endpoint["address"],
                    unix_clock.monotonic_us(float(endpoint.get("since_ms", 0))),
                )
            )
        except (ConfigError, ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            log(f"bad-endpoint detail={f'{type(error).__name__}: {error}'[:160]!r}")
    kind = api.ListKind.COMPLETE if nodes.get("snapshot") else api.ListKind.CHANGES
    return messages.HubsListed(kind, tuple(hubs))
