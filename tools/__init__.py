"""Developer tools: demo, binary, fault matrix and measurements."""
