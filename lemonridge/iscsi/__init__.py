"""The iSCSI wire: a target towards initiators, an initiator towards the nodes' targets.

The subset of RFC 7143 that both sides speak: one connection a session, error recovery level 0, no digests,
no authentication; Login, Text, SCSI Command, R2T, Data-Out, Data-In, SCSI Response, NOP, Task Management,
Logout, Async Message and Reject. What lies outside is refused as the RFC says; docs/iscsi.md lists it.
"""
