"""Send and serve calls over HTTP."""
