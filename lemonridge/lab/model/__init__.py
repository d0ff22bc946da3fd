"""A model of brokers and nodes in virtual time, at sizes that sockets don't reach.

It hosts the real decisions through `lemonridge.scheduling`; `spec` says what is modelled, `world` is it,
`baselines` are schedulers to compare with, and `runs` spreads runs over processes. docs/lab.md tells what it
leaves out.
"""
