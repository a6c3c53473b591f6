"""knapweedspring standins."""
