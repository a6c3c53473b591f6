"""The node process of an upstream VM; the package exports its settings."""

from knapweedspring_node._settings import NodeSettings
from knapweedspring_node._settings_rules import load_node_settings

__all__ = ["NodeSettings", "load_node_settings"]
