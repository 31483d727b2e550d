"""Tools for developers: the demo, the binary, measurements."""
