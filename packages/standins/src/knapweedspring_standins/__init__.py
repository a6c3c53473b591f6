"""Stand-ins for the systems around knapweedspring, its benches and its demo.

The stand-ins replace the platform, the upstreams and the callers.
"""
