"""``knapweedspringctl``: the operators' command line."""

from knapweedspring_ctl._exit_codes import ExitCode
from knapweedspring_ctl._main import main

__all__ = ["ExitCode", "main"]
