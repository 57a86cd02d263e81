"""The core that knows no wire: calls, attempts, deadlines and hubs, changed by one reducer."""
