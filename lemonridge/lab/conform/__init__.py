"""The conformance suite of the iSCSI front: named cases, each with its section, sent PDU by PDU.

`peer` is the suite's own initiator, `suite` runs the cases, and the other modules hold them by chapter.
"""
