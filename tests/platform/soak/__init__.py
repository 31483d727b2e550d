"""Randomized soak test of real entry processes on loopback under external faults.

The store, the backend servers, the callers and the operator run in this process; each entry is a
separate process. Faults overlap, and callers keep their connections until a process ends. The
checks cover what callers and backend servers observe.
"""
