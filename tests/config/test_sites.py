"""Tests of the load report's field and of the example sites in deploy/sites."""

from __future__ import annotations

import tomllib
import unittest

from harness import ROOT

from lemonridge.config.scheduler_settings import in_flight_field


class LoadReportField(unittest.TestCase):
    def test_field_is_taken_from_the_names_in_the_settings(self) -> None:
        for report, field in (
            ({"source": "piggyback", "names": ["pending", "busy_reqs"]}, "busy_reqs"),
            ({"source": "piggyback", "names": ["inflight"]}, "inflight"),
            ({"source": "piggyback", "names": ["svc_ms"]}, ""),
            ({"source": "piggyback"}, ""),
            ({"source": "pull", "names": ["busy_reqs"]}, ""),
            (None, ""),
            ([], ""),
        ):
            self.assertEqual(in_flight_field({"load-info": report}), field)


class ExampleSites(unittest.TestCase):
    def test_example_sites_have_no_class_tenant_or_zone_name_in_common(self) -> None:
        paths = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
        sites = [tomllib.loads(path.read_text()) for path in paths]
        self.assertEqual(len(sites), 2)
        for table in ("class", "tenant"):
            first, second = ({entry["name"] for entry in site[table]} for site in sites)
            self.assertFalse(first & second)
        self.assertFalse(set(sites[0]["net"]["zones"]) & set(sites[1]["net"]["zones"]))
