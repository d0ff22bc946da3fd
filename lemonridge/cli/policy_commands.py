"""`lemonridge policy`: check, propose and follow changes of policy, from the command line.

Exit status: 0 done, or in force with `--wait`; 1 refused, or nowhere; 2 a file or an address that cannot be
used; 3 not known in the time of `--wait`: the change may still come into force.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import msgspec
import orjson

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.coordination.policy_coordinator import VoteStore, VoteStoreError
from lemonridge.net.admin_client import CallError, call
from lemonridge.rollout import policy_document
from lemonridge.rollout.policy_document import Policy, PolicyError

REFUSED, UNKNOWN = 1, 3
LOOK_S = 0.1  # between two looks at a change that is waited for
METAVARS = {"file": "FILE", "address": "ADDR", "name": "NAME"}
PRICE = """lemonridge: this goes on without a majority of the voters. If those that are called lost are only
cut off and still serve, two policies are gone by, so limits may be passed twice, until the two sides hear
each other; what the lost decided meanwhile is void then. With --accept-two-policies it is done."""


def parser() -> argparse.ArgumentParser:
    """The options of the parts. They are read here, so that no other command loads this module."""
    top = argparse.ArgumentParser(prog="lemonridge policy", description="One policy for the whole fleet.")
    parts = top.add_subparsers(required=True, metavar="PART", dest="part")

    def part(name: str, text: str, *arguments: str) -> argparse.ArgumentParser:
        made: argparse.ArgumentParser = parts.add_parser(name, help=text)
        for one in arguments:
            many = "+" if one == "address" and name == "status" else None
            made.add_argument(one, nargs=many, metavar=METAVARS[one])
        return made

    part("init", "make the store of a new fleet's broker", "file")
    part("check", "read a policy, say what it holds", "file")
    part("show", "the policy in force, as a file", "address")
    part("diff", "what a file would change", "file", "address")
    propose = part("propose", "change the policy of the fleet", "file", "address")
    propose.add_argument("--note", default="", help="why, for the history")
    propose.add_argument("--dry-run", action="store_true", help="only ask that broker whether it could")
    propose.add_argument("--wait", type=float, default=0.0, metavar="S", help="until it is in force, or not")
    status = part("status", "what each broker goes by", "address")
    status.add_argument("--json", action="store_true")
    part("history", "the last changes", "address")
    part("abort", "call off a change that is not put to the vote yet", "address")
    admit = part("admit", "let the broker at ADDR vote", "address")
    retire = part("retire", "take a broker's vote away, for good", "name", "address")
    for one in (admit, retire):
        one.add_argument("--wait", type=float, default=0.0, metavar="S", help="until it is in force, or not")
    force = part("force", "EMERGENCY: go on without a majority of the voters", "address")
    force.add_argument(
        "--lost",
        action="append",
        required=True,
        metavar="NAME",
        help="a voter that is lost for good; once for each",
    )
    force.add_argument("--note", default="", help="why, for the history and the log")
    force.add_argument("--accept-two-policies", action="store_true", help="the price is understood")
    return top


def run(options: argparse.Namespace) -> int:
    """One of the parts; ConfigError where a file or an address is of no use."""
    try:
        return _run(options)
    except (PolicyError, VoteStoreError) as error:
        raise ConfigError(f"{options.file}: {error}") from None
    except CallError as error:
        print(f"lemonridge: {error}", file=sys.stderr)
        return REFUSED


def _run(options: argparse.Namespace) -> int:
    if options.part == "init":
        VoteStore(options.file).begin()
        print(f"ok: {options.file}")
        return 0
    if options.part == "check":
        told = read(options.file)
        size = len(msgspec.json.encode(told))
        print(f"ok: {len(told.plan)} plans, {len(told.classes)} classes, {size} bytes")
        return 0
    if options.part == "status":
        return _status([Address.parse(one, "ADDR") for one in options.address], options.json)
    address = Address.parse(options.address, "ADDR")
    if options.part == "show":
        print(written(msgspec.convert(_seen(address)["policy"], Policy)), end="")
    elif options.part == "diff":
        lines = policy_document.difference(
            msgspec.convert(_seen(address)["policy"], Policy), read(options.file)
        )
        print("\n".join(lines) or "nothing differs")
    elif options.part == "history":
        print("\n".join(_seen(address)["history"]) or "nothing has changed since the brokers' own files")
    elif options.part == "abort":
        print(_call(address, "policy-abort"))
    elif options.part == "force":
        return _force(options, address)
    elif options.part == "propose":
        proposed = {
            "policy": msgspec.to_builtins(read(options.file)),
            "note": options.note,
            "dry": options.dry_run,
        }
        line = "policy-propose " + orjson.dumps(proposed).decode()
        return _propose(line, address, 0.0 if options.dry_run else options.wait)
    else:
        line = "policy-admit" if options.part == "admit" else f"policy-retire {options.name}"
        return _propose(line, address, options.wait)
    return 0


def _force(options: argparse.Namespace, address: Address) -> int:
    if not options.accept_two_policies:
        print(PRICE, file=sys.stderr)
        return REFUSED
    told = {"lost": options.lost, "note": options.note}
    print(_call(address, "policy-force " + orjson.dumps(told).decode()))
    return 0


def _propose(line: str, address: Address, wait_s: float) -> int:
    """Say a proposal, and follow it for `wait_s` seconds."""
    begun = _seen(address)["results_ended"]
    print(_call(address, line))
    until = time.monotonic() + wait_s
    while time.monotonic() < until:
        seen = _seen(address)
        if seen["results_ended"] > begun:
            end, why, epoch = seen["results"][-1]
            print(f"{end}: {why}" if why else f"{end}, epoch {epoch}")
            return 0 if end == "in force" else UNKNOWN if end == "unknown" else REFUSED
        time.sleep(LOOK_S)
    return UNKNOWN if wait_s else 0


def _status(addresses: list[Address], as_json: bool) -> int:
    views, silent = [], []
    for address in addresses:
        try:
            views.append(_seen(address))
        except CallError as error:
            silent.append(str(error))
    if as_json:
        print(orjson.dumps({"brokers": views, "silent": silent}, option=orjson.OPT_INDENT_2).decode())
    else:
        print(table(views))
    for line in silent:
        print(f"lemonridge: {line}", file=sys.stderr)
    alike = len({(view["epoch"], view["state"]) for view in views}) == 1
    return 0 if alike and not silent and all(view["goes_by"] != "floor" for view in views) else REFUSED


def table(views: list[dict[str, Any]]) -> str:
    """A line for each broker: what it holds, goes by, for how long, whether it votes, what is under way."""
    rows = [("broker", "epoch", "state", "goes by", "lease ms", "votes", "under way", "fault")]
    for view in views:
        goes = view["goes_by"]
        under = view["under_way"]
        rows.append(
            (
                view["name"],
                str(view["epoch"]),
                view["state"][:8],
                goes if isinstance(goes, str) else "-".join(map(str, dict.fromkeys(goes))),
                str(view["lease_ms"]),
                "yes" if view["votes"] else "no" if view["voter"] else "-",
                f"{under['phase']} on {under['slot']}" if under else "",
                view["fault"],
            )
        )
    wide = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, wide, strict=True)).rstrip() for row in rows
    )


def read(path: str) -> Policy:
    """The policy of a TOML file; PolicyError names the key."""
    try:
        return policy_document.policy_of(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        raise PolicyError(f"cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise PolicyError(f"not TOML: {error}") from None


def written(policy: Policy) -> str:
    """A policy as TOML, which `read` reads back alike."""
    told = msgspec.to_builtins(policy)
    lines = ["[rules]", *(f"{key} = {value}" for key, value in told["rules"].items())]
    for what in ("plan", "class"):
        for row in told[what]:
            lines += ["", f"[[{what}]]"]
            lines += [f"{key} = {orjson.dumps(value).decode()}" for key, value in row.items()]
    return "\n".join(lines) + "\n"


def _call(address: Address, line: str) -> str:
    return asyncio.run(call(address, line))


def _seen(address: Address) -> dict[str, Any]:
    told: dict[str, Any] = orjson.loads(_call(address, "policy"))
    return told
