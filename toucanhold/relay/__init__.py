"""Relays the key-value service's items and their changes between entries.

The platform charges for each call to the service and limits their rate, including waiting watches.
If each entry watched the service itself, each change would cost as many calls as there are entries.
So the planner watches and publishes the changes, and the others follow it, by availability zone.
"""
