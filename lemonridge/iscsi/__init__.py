"""The iSCSI wire: a target towards initiators, an initiator towards nodes (RFC 7143, SPC-4, SBC-3).

`keys`, `chap`, `login`, `numbers`, `transfer` and `reservations` decide and are pure; `portal`, `connection`,
`session` and `runner` carry sessions at recovery levels 0 to 2; docs/iscsi.md lists what is spoken.
"""
