"""The gateway: forwards callers' HTTP requests to endpoints that have no agent."""
