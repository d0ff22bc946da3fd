"""Answers text requests in full feature phase (RFC 7143, sections 11.10 and 11.11)."""

from __future__ import annotations

from dataclasses import replace

from lemonridge.iscsi.allegiance import InitiatorConnection
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.keys import NegotiationError, Responder, TextPairs, parse_text
from lemonridge.iscsi.pdu import CONTINUE, FINAL, RESERVED_TAG, Op, Pdu, PduError, pack_text
from lemonridge.iscsi.text_exchange import TextExchangeError, TextPart


class TextRequestHandler:
    """Answers the text requests of one session.

    Args:
        config: The configuration of the iSCSI front.
        initiator: The initiator's iSCSI name.
        target: The target's iSCSI name; empty in a discovery session.
        discovery: Whether the session is a discovery session.
    """

    def __init__(self, config: IscsiConfig, initiator: str, target: str, discovery: bool) -> None:
        self._config, self._initiator, self._target = config, initiator, target
        self._discovery = discovery

    def receive(self, connection: InitiatorConnection, pdu: Pdu) -> None:
        """Answers a text request, or sends the next part of an answer.

        Args:
            connection: The connection that received the request.
            pdu: The Text Request.

        Raises:
            PduError: The request breaks the protocol.
        """
        exchange = connection.text_exchange
        transfer_tag = None if pdu.words[0] == RESERVED_TAG else pdu.words[0]
        part = exchange.next_part(transfer_tag, connection.agreed.send_segment) if not pdu.data else None
        if part is not None:
            self._send_text(connection, pdu, part)
            return
        try:
            text = exchange.receive(transfer_tag, pdu.data, bool(pdu.flags & CONTINUE))
            if text is None:
                self._send_text(connection, pdu, exchange.request_rest(), flags=0)
                return
            answers = self._answers_to_text(connection, parse_text(text))
        except (TextExchangeError, NegotiationError) as error:
            raise PduError(PduError.PROTOCOL, str(error), pdu) from None
        # The request may have changed the length of a segment.
        part = exchange.first_part(pack_text(answers), connection.agreed.send_segment)
        self._send_text(connection, pdu, part)

    def _answers_to_text(self, connection: InitiatorConnection, pairs: TextPairs) -> TextPairs:
        """Returns the answers to the keys of a text request."""
        answers: TextPairs = []
        negotiable = [(key, value) for key, value in pairs if key != "SendTargets"]
        for key, value in pairs:
            if key == "SendTargets":
                answers += self._visible_targets(connection, value)
        responder = Responder(self._config.target_preferences, leading=False)
        answers += [
            (key, value)
            for key, value in responder.answer(negotiable)
            if key != "MaxRecvDataSegmentLength" or value == "Reject"
        ]
        if (
            "MaxRecvDataSegmentLength" in dict(negotiable)
            and ("MaxRecvDataSegmentLength", "Reject") not in answers
        ):
            segment_bytes = responder.parameters.send_segment
            connection.agreed = replace(connection.agreed, send_segment=segment_bytes)
        return answers

    def _send_text(
        self, connection: InitiatorConnection, pdu: Pdu, part: TextPart, flags: int | None = None
    ) -> None:
        """Sends a part of an answer, with the flags that it implies unless others are given."""
        if flags is None:
            flags = FINAL if part.transfer_tag is None else CONTINUE
        words = [RESERVED_TAG if part.transfer_tag is None else part.transfer_tag, 0, 0, 0, 0, 0, 0]
        connection.send(
            Pdu(Op.TEXT_RESPONSE, flags, lun=pdu.lun, tag=pdu.tag, data=part.data, words=words), status=True
        )

    def _visible_targets(self, connection: InitiatorConnection, value: str) -> list[tuple[str, str]]:
        """Returns the answer to SendTargets: the requested targets that this initiator may log in to.

        RFC 7143, Appendix C.
        """
        host, port = connection.writer.get_extra_info("sockname")[:2]
        host = f"[{host}]" if ":" in host else host
        pairs: list[tuple[str, str]] = []
        for rule in self._config.targets.values():
            requested = value == "All" and self._discovery or value in ("", rule.name)
            if (
                requested
                and rule.admits(self._initiator)
                and (value != "" or rule.name == self._target or self._discovery)
            ):
                pairs += [("TargetName", rule.name), ("TargetAddress", f"{host}:{port},1")]
        return pairs
