"""Entry point of `python -m lemonridge`."""

import sys

if sys.argv[1:2] == ["serve"]:  # before the slow imports, during which SIGHUP would end the process
    from lemonridge.service.ignored_signals import ignore_control_signals

    ignore_control_signals()

from lemonridge.cli.main import main  # noqa: E402

sys.exit(main())
