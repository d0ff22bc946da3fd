"""What operators are shown of a member; the keys are those of the admin call `policy`."""

from __future__ import annotations

from lemonridge.rollout.change_proposal import Change
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.lease_exchange import LeaseExchange
from lemonridge.rollout.leases import NO_EPOCHS, EpochInterval
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.vote_log import VoteLog


def member_status(
    context: MemberContext, log: VoteLog, in_use: EpochInterval, policy_error: PolicyError | None
) -> dict[str, object]:
    """Who the member is, the state that it holds, and the epochs that it decides by."""
    return {
        "name": context.name,
        "life": context.incarnation,
        "epoch": log.state.epoch,
        "state": log.digest.hex(),
        "goes_by": "floor" if in_use == NO_EPOCHS else list(in_use),
        "fault": str(policy_error or ""),
    }


def vote_status(context: MemberContext, log: VoteLog) -> dict[str, object]:
    """The member's vote and the voters."""
    return {
        "votes": log.is_voter,
        "voter": context.name in log.state.voters,
        "voters": sorted(log.state.voters),
        "promised": log.acceptor.promised_ballot,
        "accepted": log.acceptor.accepted_ballot,
    }


def change_status(context: MemberContext, change: Change | None) -> dict[str, object] | None:
    """The change under way at the member."""
    if change is None:
        return None
    return {
        "slot": change.slot,
        "mine": change.is_own,
        "phase": "check" if change.proposer is None else "vote",
        "answered": sorted(context.names[member] for member in change.check_answers),
    }


def lease_status(context: MemberContext, leases: LeaseExchange, now_us: int) -> dict[str, object]:
    """Which members were heard, and the grants given; times in milliseconds."""
    return {
        "heard": {
            context.names[member]: {"epoch": heard.epoch, "ms": (now_us - heard.at_us) // 1000}
            for member, heard in sorted(leases.heard.items())
        },
        "leases_out": {
            context.names[member]: [[*one.interval, (one.end_us - now_us) // 1000] for one in grants]
            for member, grants in sorted(leases.grantor.outstanding(now_us).items())
        },
    }
