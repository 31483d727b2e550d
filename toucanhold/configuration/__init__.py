"""The operators' word: inventory, rules and availability zones taken out."""
