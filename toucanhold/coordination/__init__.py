"""The platform's services: the key-value service and the list of VMs."""
