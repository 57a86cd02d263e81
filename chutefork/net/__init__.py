"""The platform's protocol over TCP, and what the SIP side shares with it: reactor, connections, driver."""
