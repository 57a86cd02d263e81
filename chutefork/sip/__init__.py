"""The SIP side: callers and hubs over SIP (RFC 3261, RFC 6026) on UDP and TCP, driving chutefork.core."""
