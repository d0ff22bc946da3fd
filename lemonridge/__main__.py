"""`python -m lemonridge`."""

import sys

from lemonridge.cli import main

sys.exit(main())
