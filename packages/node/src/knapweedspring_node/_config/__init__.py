"""Configuration of a node: the platform's watcher, contacts and status reports."""

from knapweedspring_node._config._contacts import parse_contacts, read_contacts
from knapweedspring_node._config._roles import Roles
from knapweedspring_node._config._watcher import PlatformWatcher

__all__ = ["PlatformWatcher", "Roles", "parse_contacts", "read_contacts"]
