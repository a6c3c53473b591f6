"""Configuration of a node: the platform's watcher, contacts and status reports."""

from knapweedspring_core import parse_contacts
from knapweedspring_node._config._contacts import read_contacts
from knapweedspring_node._config._contacts_keeper import ContactsKeeper
from knapweedspring_node._config._reporter import ReporterParts, StatusReporter
from knapweedspring_node._config._roles import Roles
from knapweedspring_node._config._status_writer import StatusWriter
from knapweedspring_node._config._watcher import PlatformWatcher

__all__ = [
    "ContactsKeeper",
    "PlatformWatcher",
    "ReporterParts",
    "Roles",
    "StatusReporter",
    "StatusWriter",
    "parse_contacts",
    "read_contacts",
]
