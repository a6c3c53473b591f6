"""The process on each upstream VM; its settings are open to other programs."""

from knapweedspring_node._settings import NodeSettings
from knapweedspring_node._settings_rules import load_node_settings

__all__ = ["NodeSettings", "load_node_settings"]
