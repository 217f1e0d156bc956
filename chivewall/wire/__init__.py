"""Protobuf messages between chivewall's processes, and their conversion to attrs values."""
