"""Clients that ask: open-loop generators and the initiators beneath them."""
