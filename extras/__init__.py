"""Development tools that are not part of the product."""
