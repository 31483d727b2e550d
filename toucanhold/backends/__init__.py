"""The client of backend servers: model engines and plain services behind one interface."""
