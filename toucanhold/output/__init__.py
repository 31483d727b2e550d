"""What operators read: text for people, JSON for scripts."""
