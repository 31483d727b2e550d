"""Randomized soak test of real entry processes on loopback under external faults.

The store, the backend servers, the callers and the operator run in this process; each entry is a
separate process. Faults overlap, and callers keep their connections until a process ends. The
checks cover what callers and backend servers observe.

In a quarter of the seeds, entries run with all optional policies, and the faults include servers
that become slow and bursts of one workspace. In three quarters of the seeds from 2000 on, servers
pause beside planned work on the entries, retries and slots may be few, and no request that reached
a sound server may end without a whole answer.
"""
