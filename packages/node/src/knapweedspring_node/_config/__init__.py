"""Configuration of a node: the platform's watcher, contacts and status reports."""

from knapweedspring_node._config._contacts import read_contacts
from knapweedspring_node._config._roles import Roles
from knapweedspring_node._config._watcher import PlatformWatcher

__all__ = ["PlatformWatcher", "Roles", "read_contacts"]
