"""`python -m lemonridge`."""

import sys

if sys.argv[1:2] == ["serve"]:  # before anything that takes a while to load
    from lemonridge.service.ignored_signals import ignore_reload_signals

    ignore_reload_signals()

from lemonridge.cli.main import main  # noqa: E402

sys.exit(main())
