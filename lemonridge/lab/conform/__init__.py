"""Protocol conformance suite of the iSCSI front.

Each named case cites the section of the standard that it checks, and exchanges single PDUs with the target.
`peer` is the suite's initiator, `cases` registers the cases, `suite` runs them and `faulty` injects faults
that the suite must detect. `login`, `session`, `data` and `scsi` contain the cases.
"""
