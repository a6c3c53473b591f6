"""``knapweedspringctl``: the operators' command line."""

from knapweedspring_ctl._exits import ExitCode
from knapweedspring_ctl._main import main

__all__ = ["ExitCode", "main"]
