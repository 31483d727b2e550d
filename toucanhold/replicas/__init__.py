"""Groups of backend servers that together hold one replica of a model."""
