"""The call path of a node: admission, routing, retries, tickets."""
