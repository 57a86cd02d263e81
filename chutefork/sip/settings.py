"""The operator's file of the SIP front (`deploy/sip.toml`); bad values are named by their key."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from secrets import randbits

from ..config import ConfigError, Node, address_of, settings_of
from ..interface import Settings


@dataclass(frozen=True, slots=True)
class Route:
    prefix: str
    destination: int
    class_index: int
    tenant: int


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    address: str
    service: str  # whose instances are the hubs
    register: str  # the name this program registers itself under; empty: it does not
    ttl_s: float
    wait_s: float
    token: str


@dataclass(frozen=True, slots=True)
class SipConfig:
    name: str
    listen: tuple[str, int]
    advertise: str
    t1_s: float
    trying_s: float
    peers: frozenset[str]
    routes: tuple[Route, ...]
    consul: ConsulConfig
    settings: Settings
    connect_timeout_s: float
    sockets: int

    def route(self, number: str) -> Route | None:
        """The longest prefix that fits."""
        fitting = [item for item in self.routes if number.startswith(item.prefix)]
        return max(fitting, key=lambda item: len(item.prefix), default=None)


def load(path: Path) -> SipConfig | None:
    """None where the file is not there or says that the front is off."""
    try:
        root = Node(tomllib.loads(path.read_text(encoding="utf-8")))
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as fault:
        raise ConfigError(f"{path}: {fault}") from None
    if not root.flag("enabled"):
        return None
    inner = root.node("settings")
    settings, classes, tenants = settings_of(inner, randbits(64))
    routes = []
    for item in root.nodes("routes"):
        prefix, name, tenant = item.text("prefix"), item.text("class"), item.text("tenant", "")
        if name not in classes:
            raise ConfigError(f"{item.path}.class: {name!r} is none of settings.services")
        if tenant and tenant not in tenants:
            raise ConfigError(f"{item.path}.tenant: {tenant!r} is none of settings.accounts")
        routes.append(
            Route(
                prefix,
                int(item.number("destination")),
                classes.index(name),
                tenants.index(tenant) if tenant else 0,
            )
        )
    if not routes:
        raise ConfigError("routes: at least one is needed")
    t1_ms, trying_ms = root.number("t1_ms", 500), root.number("trying_ms", 800)
    for key, value in (("t1_ms", t1_ms), ("trying_ms", trying_ms)):
        if not 0 < value <= 60_000:
            raise ConfigError(f"{key}: must lie above 0 and at most 60000, is {value!r}")
    sockets = root.number("sockets", 1024)
    if not 16 <= sockets <= 1_000_000:
        raise ConfigError(f"sockets: must lie between 16 and 1000000, is {sockets!r}")
    advertise = root.text("advertise", "")
    if advertise:
        address_of(advertise, "advertise")
    peers = root.get("peers", list, [])
    if not all(isinstance(item, str) for item in peers):
        raise ConfigError("peers: addresses as text are needed")
    consul = root.node("consul")
    address = consul.text("address")
    address_of(address, "consul.address")
    ttl_s = consul.number("ttl_s", 10)
    wait_s = consul.number("wait_s", 30)
    for key, value in (("ttl_s", ttl_s), ("wait_s", wait_s)):
        if not 1 <= value <= 600:
            raise ConfigError(f"consul.{key}: must lie between 1 and 600, is {value!r}")
    return SipConfig(
        name=root.text("name"),
        listen=address_of(root.text("listen"), "listen"),
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
        connect_timeout_s=inner.node("limits").number("connect_timeout_s"),
        sockets=int(sockets),
    )
