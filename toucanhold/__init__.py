"""A serving system for models that span several VMs."""

from toucanhold import startup

__version__ = "0.1.0"

startup.import_trio()
