"""The iSCSI protocol: a target for initiators, and an initiator for nodes (RFC 7143, SPC-4, SBC-3).

`keys`, `chap`, `login`, `numbers`, `transfer` and `reservations` contain the protocol decisions and are pure;
`portal`, `connection`, `session` and `runner` serve sessions at recovery levels 0 to 2. docs/iscsi.md lists
the supported features.
"""
