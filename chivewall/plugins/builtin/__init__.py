"""Built-in plug-ins, one module each; only those named in the settings are imported."""
