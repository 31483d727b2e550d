"""Which VMs form which groups, decided by the one entry that holds the planner lease."""
