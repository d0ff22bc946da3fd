"""Stretches of network and other things that go wrong: cuts, flipped bits, lost datagrams, drains."""
