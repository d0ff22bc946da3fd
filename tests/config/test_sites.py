"""Load reports' fields and the sites to try."""

from __future__ import annotations

import tomllib
import unittest

from harness import ROOT

from lemonridge.config.scheduler_settings import held_field


class Reports(unittest.TestCase):
    def test_the_field_of_a_load_report_is_the_one_that_the_settings_name(self) -> None:
        for report, field in (
            ({"source": "piggyback", "names": ["pending", "busy_reqs"]}, "busy_reqs"),
            ({"source": "piggyback", "names": ["inflight"]}, "inflight"),
            ({"source": "piggyback", "names": ["svc_ms"]}, ""),
            ({"source": "piggyback"}, ""),
            ({"source": "pull", "names": ["busy_reqs"]}, ""),
            (None, ""),
            ([], ""),
        ):
            self.assertEqual(held_field({"load-info": report}), field)


class Sites(unittest.TestCase):
    def test_the_sites_to_try_differ_in_every_name_from_each_other(self) -> None:
        paths = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
        told = [tomllib.loads(path.read_text()) for path in paths]
        self.assertEqual(len(told), 2)
        for table in ("class", "tenant"):
            first, second = ({row["name"] for row in one[table]} for one in told)
            self.assertFalse(first & second)
        self.assertFalse(set(told[0]["net"]["zones"]) & set(told[1]["net"]["zones"]))
