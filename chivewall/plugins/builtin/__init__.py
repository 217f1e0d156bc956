"""Built-in plug-ins, one module each; the kernel imports only those in the settings."""
