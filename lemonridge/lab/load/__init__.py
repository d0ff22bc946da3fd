"""Load generators: open-loop generators for both fronts, and the iSCSI initiators that they use."""
