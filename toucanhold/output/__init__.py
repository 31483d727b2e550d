"""Output of the command line as text; scripts use the JSON form of the answers."""
