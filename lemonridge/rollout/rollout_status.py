"""The status of a member that operators see, by the keys of the admin call `policy`."""

from __future__ import annotations

from lemonridge.rollout.change_proposal import Change, ChangeProposals
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.lease_exchange import LeaseExchange
from lemonridge.rollout.leases import NO_EPOCHS, EpochInterval
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.vote_log import VoteLog


def status(
    context: MemberContext,
    log: VoteLog,
    leases: LeaseExchange,
    proposals: ChangeProposals,
    in_use: EpochInterval,
    policy_error: PolicyError | None,
    now_us: int,
) -> dict[str, object]:
    """Returns the status of a member that decides by the epochs `in_use`. Times are in milliseconds."""
    return {
        "name": context.name,
        "life": context.incarnation,
        "epoch": log.state.epoch,
        "state": log.digest.hex(),
        "goes_by": "floor" if in_use == NO_EPOCHS else list(in_use),
        "fault": str(policy_error or ""),
        "lease_ms": max(0, leases.holder.expires_us() - now_us) // 1000,
        "votes": log.is_voter,
        "voter": context.name in log.state.voters,
        "voters": sorted(log.state.voters),
        "promised": log.acceptor.promised_ballot,
        "accepted": log.acceptor.accepted_ballot,
        "under_way": _change_status(context, proposals.change),
        "heard": {
            context.names[member]: {"epoch": message.epoch, "ms": (now_us - message.received_at_us) // 1000}
            for member, message in sorted(leases.last_messages.items())
        },
        "leases_out": {
            context.names[member]: [[*grant.interval, (grant.end_us - now_us) // 1000] for grant in grants]
            for member, grants in sorted(leases.grantor.outstanding(now_us).items())
        },
        "results_ended": proposals.results_total,
        "results": [[result.outcome.value, result.reason, result.epoch] for result in proposals.results],
        "history": list(log.state.history),
        "counts": context.counts,
    }


def _change_status(context: MemberContext, change: Change | None) -> dict[str, object] | None:
    if change is None:
        return None
    return {
        "slot": change.slot,
        "mine": change.is_own,
        "phase": "check" if change.proposer is None else "vote",
        "answered": sorted(context.names[member] for member in change.check_answers),
    }
