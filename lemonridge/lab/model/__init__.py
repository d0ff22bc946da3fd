"""A discrete-event simulation of brokers and nodes, at sizes that real sockets cannot reach.

The simulated brokers run the real scheduler, `lemonridge.scheduling`. `spec` defines scenarios, `world` is
the simulation, `baselines` are schedulers to compare with, and `runs` distributes runs over processes.
docs/lab.md describes what the model omits.
"""
