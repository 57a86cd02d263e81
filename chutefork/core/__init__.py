"""Protocol-independent core: the state of calls, attempts, deadlines and hubs, changed by one reducer."""
