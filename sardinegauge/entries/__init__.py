"""The entry process: proxies requests of callers and serves calls of operators."""
