"""The proof bench: whole entries on a test clock, among small fakes, with a recorded history."""
