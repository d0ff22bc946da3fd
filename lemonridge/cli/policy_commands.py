"""The command `policy`: checks policy files, and proposes and follows changes of the fleet's policy.

Exit status: 0 if the call succeeded and, with `--wait`, the change is in force; 1 if the change was rejected
or not adopted; 2 if a file or an address cannot be used; 3 if the outcome is unknown after `--wait`: the
change may still come into force.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import orjson

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.coordination.errors import VoteStoreError
from lemonridge.coordination.vote_store import VoteStore
from lemonridge.net.admin_client import CallError, call
from lemonridge.rollout import policy_document
from lemonridge.rollout.change_proposal import ChangeOutcome
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.policy_document import Policy

EXIT_REJECTED, EXIT_UNKNOWN = 1, 3
POLL_INTERVAL_S = 0.1  # between two queries while waiting for a change
METAVARS = {"file": "FILE", "address": "ADDR", "name": "NAME"}
FORCE_WARNING = """\
lemonridge: this continues without a majority of the voters. If the brokers that are given as lost are
only cut off and still serve, two policies are in force, so limits may be exceeded twofold, until the two
sides can communicate again; what the lost brokers decided meanwhile is then void. To proceed, repeat the
command with --accept-two-policies."""


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the subcommands; defined here so that other commands do not load this module."""
    top = argparse.ArgumentParser(
        prog="lemonridge policy", description="Manage the policy of the whole fleet."
    )
    parts = top.add_subparsers(required=True, metavar="PART", dest="part")

    def add_subcommand(name: str, help_text: str, *arguments: str) -> argparse.ArgumentParser:
        subcommand: argparse.ArgumentParser = parts.add_parser(name, help=help_text)
        for argument in arguments:
            nargs = "+" if argument == "address" and name == "status" else None
            subcommand.add_argument(argument, nargs=nargs, metavar=METAVARS[argument])
        return subcommand

    add_subcommand("init", "create the vote store of a broker of a new fleet", "file")
    add_subcommand("check", "check a policy file and summarize it", "file")
    add_subcommand("show", "print the policy in force as TOML", "address")
    add_subcommand("diff", "show what a policy file would change", "file", "address")
    propose = add_subcommand("propose", "propose a new policy for the fleet", "file", "address")
    propose.add_argument("--note", default="", help="reason, for the history")
    propose.add_argument(
        "--dry-run", action="store_true", help="only ask this broker whether it would accept the policy"
    )
    propose.add_argument(
        "--wait", type=float, default=0.0, metavar="S", help="seconds to wait for the outcome"
    )
    status = add_subcommand("status", "show the policy state of each broker", "address")
    status.add_argument("--json", action="store_true")
    add_subcommand("history", "show the last changes", "address")
    add_subcommand("abort", "abort a change that has not been put to the vote yet", "address")
    admit = add_subcommand("admit", "admit the broker at ADDR as a voter", "address")
    retire = add_subcommand("retire", "permanently remove a broker from the voters", "name", "address")
    for subcommand in (admit, retire):
        subcommand.add_argument(
            "--wait", type=float, default=0.0, metavar="S", help="seconds to wait for the outcome"
        )
    force = add_subcommand("force", "EMERGENCY: continue without a majority of the voters", "address")
    force.add_argument(
        "--lost",
        action="append",
        required=True,
        metavar="NAME",
        help="a permanently lost voter; repeat for each",
    )
    force.add_argument("--note", default="", help="reason, for the history and the log")
    force.add_argument(
        "--accept-two-policies",
        action="store_true",
        help="confirm that two policies may be in force meanwhile",
    )
    return top


def run(options: argparse.Namespace) -> int:
    """Runs a subcommand; returns the exit status.

    Raises:
        ConfigError: A file or an address cannot be used.
    """
    try:
        return SUBCOMMANDS[options.part](options)
    except (PolicyError, VoteStoreError) as error:
        raise ConfigError(f"{options.file}: {error}") from None
    except CallError as error:
        print(f"lemonridge: {error}", file=sys.stderr)
        return EXIT_REJECTED


def _init(options: argparse.Namespace) -> int:
    VoteStore(options.file).create()
    print(f"ok: {options.file}")
    return 0


def _check(options: argparse.Namespace) -> int:
    policy = read(options.file)
    size = len(msgspec.json.encode(policy))
    print(f"ok: {len(policy.plan)} plans, {len(policy.classes)} classes, {size} bytes")
    return 0


def _show(options: argparse.Namespace) -> int:
    print(to_toml(_policy_in_force(_address(options))), end="")
    return 0


def _diff(options: argparse.Namespace) -> int:
    lines = policy_document.difference(_policy_in_force(_address(options)), read(options.file))
    print("\n".join(lines) or "nothing differs")
    return 0


def _history(options: argparse.Namespace) -> int:
    lines = _status_of(_address(options))["history"]
    print("\n".join(lines) or "nothing has changed since the brokers' own files")
    return 0


def _abort(options: argparse.Namespace) -> int:
    print(_call(_address(options), "policy-abort"))
    return 0


def _force(options: argparse.Namespace) -> int:
    address = _address(options)
    if not options.accept_two_policies:
        print(FORCE_WARNING, file=sys.stderr)
        return EXIT_REJECTED
    emergency = {"lost": options.lost, "note": options.note}
    print(_call(address, "policy-force " + orjson.dumps(emergency).decode()))
    return 0


def _propose(options: argparse.Namespace) -> int:
    address = _address(options)
    proposal = {
        "policy": msgspec.to_builtins(read(options.file)),
        "note": options.note,
        "dry": options.dry_run,
    }
    line = "policy-propose " + orjson.dumps(proposal).decode()
    return _begin_change(line, address, 0.0 if options.dry_run else options.wait)


def _admit(options: argparse.Namespace) -> int:
    return _begin_change("policy-admit", _address(options), options.wait)


def _retire(options: argparse.Namespace) -> int:
    return _begin_change(f"policy-retire {options.name}", _address(options), options.wait)


def _begin_change(line: str, address: Address, wait_s: float) -> int:
    """Sends a call that starts a change and follows the change for up to `wait_s` seconds.

    Returns:
        The exit status.
    """
    results_before = _status_of(address)["results_ended"]
    print(_call(address, line))
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
        status = _status_of(address)
        if status["results_ended"] > results_before:
            outcome, reason, epoch = status["results"][-1]
            print(f"{outcome}: {reason}" if reason else f"{outcome}, epoch {epoch}")
            return _exit_status(ChangeOutcome(outcome))
        time.sleep(POLL_INTERVAL_S)
    return EXIT_UNKNOWN if wait_s else 0


def _exit_status(outcome: ChangeOutcome) -> int:
    if outcome is ChangeOutcome.IN_FORCE:
        return 0
    return EXIT_UNKNOWN if outcome is ChangeOutcome.UNKNOWN else EXIT_REJECTED


def _status(options: argparse.Namespace) -> int:
    addresses = [Address.parse(address, "ADDR") for address in options.address]
    statuses, errors = [], []
    for address in addresses:
        try:
            statuses.append(_status_of(address))
        except CallError as error:
            errors.append(str(error))
    if options.json:
        report = {"brokers": statuses, "silent": errors}
        print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
    else:
        print(table(statuses))
    for error_text in errors:
        print(f"lemonridge: {error_text}", file=sys.stderr)
    all_agree = len({(status["epoch"], status["state"]) for status in statuses}) == 1
    all_have_leases = all(status["goes_by"] != "floor" for status in statuses)
    return 0 if all_agree and not errors and all_have_leases else EXIT_REJECTED


SUBCOMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "init": _init,
    "check": _check,
    "show": _show,
    "diff": _diff,
    "propose": _propose,
    "status": _status,
    "history": _history,
    "abort": _abort,
    "admit": _admit,
    "retire": _retire,
    "force": _force,
}


def table(statuses: list[dict[str, Any]]) -> str:
    """Formats statuses as a table with one line per broker."""
    rows = [("broker", "epoch", "state", "goes by", "lease ms", "votes", "under way", "fault")]
    for status in statuses:
        epochs, change = status["goes_by"], status["under_way"]
        rows.append(
            (
                status["name"],
                str(status["epoch"]),
                status["state"][:8],
                epochs if isinstance(epochs, str) else "-".join(map(str, dict.fromkeys(epochs))),
                str(status["lease_ms"]),
                "yes" if status["votes"] else "no" if status["voter"] else "-",
                f"{change['phase']} on {change['slot']}" if change else "",
                status["fault"],
            )
        )
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    )


def read(path: str) -> Policy:
    """Reads a policy from a TOML file.

    Raises:
        PolicyError: The file cannot be read or is not a valid policy; the message names the key.
    """
    try:
        return policy_document.parse_policy(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        raise PolicyError(f"cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise PolicyError(f"not TOML: {error}") from None


def to_toml(policy: Policy) -> str:
    """Formats a policy as TOML; `read` returns an equal policy."""
    document = msgspec.to_builtins(policy)
    lines = ["[rules]", *(f"{key} = {value}" for key, value in document["rules"].items())]
    for name in ("plan", "class"):
        for entry in document[name]:
            lines += ["", f"[[{name}]]"]
            lines += [f"{key} = {orjson.dumps(value).decode()}" for key, value in entry.items()]
    return "\n".join(lines) + "\n"


def _address(options: argparse.Namespace) -> Address:
    return Address.parse(options.address, "ADDR")


def _call(address: Address, line: str) -> str:
    return asyncio.run(call(address, line))


def _status_of(address: Address) -> dict[str, Any]:
    status: dict[str, Any] = orjson.loads(_call(address, "policy"))
    return status


def _policy_in_force(address: Address) -> Policy:
    return msgspec.convert(_status_of(address)["policy"], Policy)
