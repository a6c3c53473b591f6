"""knapweedspring ctl."""
