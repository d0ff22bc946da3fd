"""`lemonridge policy`: check, propose and follow changes of policy, from the command line.

Exit status: 0 done, or in force with `--wait`; 1 rejected, or nowhere; 2 a file or an address that cannot be
used; 3 not known in the time of `--wait`: the change may still come into force.
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
POLL_INTERVAL_S = 0.1  # between two looks at a change that is waited for
METAVARS = {"file": "FILE", "address": "ADDR", "name": "NAME"}
FORCE_WARNING = """\
lemonridge: this goes on without a majority of the voters. If those that are called lost are only
cut off and still serve, two policies are gone by, so limits may be passed twice, until the two sides hear
each other; what the lost decided meanwhile is void then. With --accept-two-policies it is done."""


def parser() -> argparse.ArgumentParser:
    """The options of the subcommands. They are here, so that no other command loads this module."""
    top = argparse.ArgumentParser(prog="lemonridge policy", description="One policy for the whole fleet.")
    parts = top.add_subparsers(required=True, metavar="PART", dest="part")

    def part(name: str, text: str, *arguments: str) -> argparse.ArgumentParser:
        subcommand: argparse.ArgumentParser = parts.add_parser(name, help=text)
        for argument in arguments:
            nargs = "+" if argument == "address" and name == "status" else None
            subcommand.add_argument(argument, nargs=nargs, metavar=METAVARS[argument])
        return subcommand

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
    for subcommand in (admit, retire):
        subcommand.add_argument(
            "--wait", type=float, default=0.0, metavar="S", help="until it is in force, or not"
        )
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
    """Makes a call that begins a change, and follows the change for `wait_s` seconds."""
    results_before = _status_of(address)["results_ended"]
    print(_call(address, line))
    give_up_s = time.monotonic() + wait_s
    while time.monotonic() < give_up_s:
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
        shown = {"brokers": statuses, "silent": errors}
        print(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode())
    else:
        print(table(statuses))
    for error_text in errors:
        print(f"lemonridge: {error_text}", file=sys.stderr)
    is_alike = len({(status["epoch"], status["state"]) for status in statuses}) == 1
    has_leases = all(status["goes_by"] != "floor" for status in statuses)
    return 0 if is_alike and not errors and has_leases else EXIT_REJECTED


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
    """A line for each broker: its state, epochs, lease, vote, the change under way, its fault."""
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
    """The policy of a TOML file.

    Raises:
        PolicyError: The file cannot be read, or is no policy; the text names the key.
    """
    try:
        return policy_document.parse_policy(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        raise PolicyError(f"cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise PolicyError(f"not TOML: {error}") from None


def to_toml(policy: Policy) -> str:
    """A policy as TOML, which `read` reads back alike."""
    document = msgspec.to_builtins(policy)
    lines = ["[rules]", *(f"{key} = {value}" for key, value in document["rules"].items())]
    for name in ("plan", "class"):
        for row in document[name]:
            lines += ["", f"[[{name}]]"]
            lines += [f"{key} = {orjson.dumps(value).decode()}" for key, value in row.items()]
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
