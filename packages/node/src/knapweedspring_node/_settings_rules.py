"""Loads a node's settings and checks rules that types cannot express."""

import ipaddress
import string

from result import Err, Result

from knapweedspring_core import SettingsError, load_settings
from knapweedspring_node._settings import NodeSettings

__all__ = ["load_node_settings"]

MIN_MESH_KEY_BYTES = 16
CURVE_KEY_LENGTH = 40
MAX_PORT = 65_535
NAME_CHARACTERS = frozenset(string.ascii_letters + string.digits + "._-")


def load_node_settings(file: str) -> Result[NodeSettings, SettingsError]:
    """Read and validate the settings of a node.

    :param file: path of the file, JSON with comments.
    :return: the settings, or the path of the wrong field and what to write there.
    """
    loaded = load_settings(file, NodeSettings)
    if isinstance(loaded, Err):
        return loaded
    problem = _validate(loaded.ok_value)
    return loaded if problem is None else Err(SettingsError(file, problem))


def _validate(settings: NodeSettings) -> str | None:
    checks = (
        _validate_names(settings),
        _validate_addresses(settings),
        _validate_keys(settings),
        _validate_numbers(settings),
    )
    return next((problem for problem in checks if problem is not None), None)


def _validate_names(settings: NodeSettings) -> str | None:
    for field in ("node_id", "firm", "data_centre"):
        name = getattr(settings, field)
        if not name or not NAME_CHARACTERS.issuperset(name):
            return f"$.{field}: write letters, digits, '.', '_' and '-'"
    return None


def _validate_addresses(settings: NodeSettings) -> str | None:
    bound_fields = ("call_address", "control_address", "admin_address")
    connected_fields = ["platform_address"]
    for field in ("advertised_call_address", "advertised_control_address"):
        if getattr(settings, field):
            connected_fields.append(field)
    for field in bound_fields:
        if not _is_address(getattr(settings, field), min_port=0):
            return f"$.{field}: write ip:port; with port 0 a free port is bound"
    for field in connected_fields:
        if not _is_address(getattr(settings, field), min_port=1):
            return f"$.{field}: write ip:port"
    for index, seed in enumerate(settings.seeds):
        if not _is_address(seed, min_port=1):
            return f"$.seeds[{index}]: write ip:port of a node's control address"
    return None


def _validate_keys(settings: NodeSettings) -> str | None:
    try:
        key = bytes.fromhex(settings.mesh_key)
    except ValueError:
        return "$.mesh_key: write hexadecimal digits, two per byte"
    if len(key) < MIN_MESH_KEY_BYTES:
        return f"$.mesh_key: write at least {MIN_MESH_KEY_BYTES} bytes"
    if settings.allow_plain_control:
        if _is_loopback(settings.control_address):
            return None
        return "$.allow_plain_control: only with a loopback control_address"
    for field in ("curve_public_key", "curve_secret_key"):
        if len(getattr(settings, field)) != CURVE_KEY_LENGTH:
            return (
                f"$.{field}: write the firm's key, {CURVE_KEY_LENGTH} characters of "
                "Z85 text, or set allow_plain_control on loopback"
            )
    return None


def _validate_numbers(settings: NodeSettings) -> str | None:
    for field in ("n_workers", "n_connections", "ticket_lifetime_ms"):
        if getattr(settings, field) < 1:
            return f"$.{field}: write 1 or more"
    if settings.ticket_lifetime_ms >= settings.stop_deadline_ms:
        return (
            "$.ticket_lifetime_ms: write less than stop_deadline_ms, so that a "
            "drain can wait until tickets expire"
        )
    return None


def _is_address(text: str, min_port: int) -> bool:
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not min_port <= int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_loopback(address: str) -> bool:
    return ipaddress.ip_address(address.rpartition(":")[0]).is_loopback
