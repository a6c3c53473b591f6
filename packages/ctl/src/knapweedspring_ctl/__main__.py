"""Entry point of ``knapweedspringctl`` and ``python -m knapweedspring_ctl``."""

import sys

from knapweedspring_ctl._main import main

if __name__ == "__main__":
    sys.exit(main())
