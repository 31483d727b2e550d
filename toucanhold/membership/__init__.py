"""Membership of entries, from leased records in the key-value service and from peers."""
