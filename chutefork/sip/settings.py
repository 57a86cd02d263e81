"""Loads the configuration of the SIP side (`deploy/sip.toml`).

Errors start with the key of the bad value, or with the path of a file that cannot be read.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from secrets import randbits

from ..config import ConfigError, ConfigSection, parse_address, parse_settings
from ..interface import Settings


@dataclass(frozen=True, slots=True)
class Route:
    """Where and how calls to numbers that start with `prefix` are sent.

    `destination` is the number of an exchange, `class_index` and `tenant` are indices into the tuples of
    Settings.
    """

    prefix: str
    destination: int
    class_index: int
    tenant: int


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """Access to Consul; its fields are keys of the file."""

    address: str
    service: str  # the service whose instances are the hubs
    register: str  # the service that this process registers itself as; empty: none
    ttl_s: float  # of the check of this process's service
    wait_s: float  # of a blocking query
    token: str  # sent as X-Consul-Token; empty: none


@dataclass(frozen=True, slots=True)
class SipConfig:
    """The validated configuration; most fields are keys of the file."""

    name: str
    listen: tuple[str, int]
    advertise: str  # host:port for Via and Contact; empty: the address listened on
    t1_s: float
    trying_s: float  # wait for the first response to an INVITE, before another hub is tried
    peers: frozenset[str]  # source addresses whose X-Transit header is trusted
    routes: tuple[Route, ...]
    consul: ConsulConfig
    settings: Settings
    connect_timeout_s: float
    sockets: int  # file descriptors that SIP may use

    def route(self, number: str) -> Route | None:
        """The route with the longest matching prefix; None if no route matches."""
        matching = [route for route in self.routes if number.startswith(route.prefix)]
        return max(matching, key=lambda route: len(route.prefix), default=None)


def load(path: Path) -> SipConfig | None:
    """Reads and validates the file; None if there is none or `enabled` is false. Raises ConfigError."""
    try:
        root = ConfigSection(tomllib.loads(path.read_text(encoding="utf-8")))
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as exc:
        raise ConfigError(f"{path}: {exc}") from None
    if not root.flag("enabled"):
        return None
    settings_section = root.section("settings")
    settings, classes, tenants = parse_settings(settings_section, randbits(64))
    routes = []
    for section in root.sections("routes"):
        prefix, class_name, tenant = section.text("prefix"), section.text("class"), section.text("tenant", "")
        if class_name not in classes:
            raise ConfigError(f"{section.path}.class: {class_name!r} is not in settings.services")
        if tenant and tenant not in tenants:
            raise ConfigError(f"{section.path}.tenant: {tenant!r} is not in settings.accounts")
        routes.append(
            Route(
                prefix,
                int(section.number("destination")),
                classes.index(class_name),
                tenants.index(tenant) if tenant else 0,
            )
        )
    if not routes:
        raise ConfigError("routes: at least one is required")
    t1_ms, trying_ms = root.number("t1_ms", 500), root.number("trying_ms", 800)
    for key, value in (("t1_ms", t1_ms), ("trying_ms", trying_ms)):
        if not 0 < value <= 60_000:
            raise ConfigError(f"{key}: must be above 0 and at most 60000, is {value!r}")
    sockets = root.number("sockets", 1024)
    if not 16 <= sockets <= 1_000_000:
        raise ConfigError(f"sockets: must be between 16 and 1000000, is {sockets!r}")
    advertise = root.text("advertise", "")
    if advertise:
        parse_address(advertise, "advertise")
    peers = root.get("peers", list, [])
    if not all(isinstance(peer, str) for peer in peers):
        raise ConfigError("peers: must be a list of addresses as strings")
    consul = root.section("consul")
    address = consul.text("address")
    parse_address(address, "consul.address")
    ttl_s = consul.number("ttl_s", 10)
    wait_s = consul.number("wait_s", 30)
    for key, value in (("ttl_s", ttl_s), ("wait_s", wait_s)):
        if not 1 <= value <= 600:
            raise ConfigError(f"consul.{key}: must be between 1 and 600, is {value!r}")
    return SipConfig(
        name=root.text("name"),
        listen=parse_address(root.text("listen"), "listen"),
        advertise=advertise,
        t1_s=t1_ms / 1000,
        trying_s=trying_ms / 1000,
        peers=frozenset(peers),
        routes=tuple(routes),
        consul=ConsulConfig(
            address,
            consul.text("service"),
            consul.text("register", ""),
            ttl_s,
            wait_s,
            consul.text("token", ""),
        ),
        settings=settings,
        connect_timeout_s=settings_section.section("limits").number("connect_timeout_s"),
        sockets=int(sockets),
    )
