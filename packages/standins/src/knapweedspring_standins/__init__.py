"""Stand-ins of the outside systems, the benches and the demo of knapweedspring."""
