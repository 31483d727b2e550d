"""Configuration by operators: inventory, rules and availability zones taken out of service."""
