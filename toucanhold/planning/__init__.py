"""Group planning: the entry that holds the planner lease assigns VMs to groups."""
