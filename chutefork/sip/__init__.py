"""The second front: SIP (RFC 3261, 6026) over UDP and TCP on the same core."""
