"""What the key-value service holds, passed on from entry to entry.

Each call to the service is paid for and counts towards its rate, a waiting watch too. Were each
entry to watch by itself, each change would cost as many calls as there are entries. So the planner
watches and publishes what changed, and the others follow it, by availability zone.
"""
