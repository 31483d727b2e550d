"""Backend servers: model engines and plain services behind one interface."""
