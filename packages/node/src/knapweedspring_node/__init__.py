"""knapweedspring node."""
