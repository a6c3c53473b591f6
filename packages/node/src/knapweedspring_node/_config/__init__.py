"""Platform access of a node: declaration watcher, contacts and status reports."""

from knapweedspring_core import parse_contacts
from knapweedspring_node._config._contacts import read_contacts
from knapweedspring_node._config._contacts_writer import ContactsWriter
from knapweedspring_node._config._reporter import ReporterDependencies, StatusReporter
from knapweedspring_node._config._roles import Roles
from knapweedspring_node._config._status_writer import StatusWriter
from knapweedspring_node._config._watcher import PlatformWatcher

__all__ = [
    "ContactsWriter",
    "PlatformWatcher",
    "ReporterDependencies",
    "Roles",
    "StatusReporter",
    "StatusWriter",
    "parse_contacts",
    "read_contacts",
]
