"""The platform's protocol over TCP, and what the SIP side shares with it: reactor, connections, driver.

The platform's protocol is the operator's own: JSON lines from callers, binary frames to and from exchanges,
and an HTTP command channel with the list of exchanges.
"""
