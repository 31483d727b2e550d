"""A randomized soak: real entry processes on loopback, and faults from outside them.

The store, the backend servers, the callers and the operator run in this process; each entry is a
process of its own. Faults overlap, and callers keep their connections until a process is gone.
What is checked is what callers and backend servers see.
"""
