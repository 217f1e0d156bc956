"""Messages between chivewall's own processes: protobuf, and its conversion to attrs."""
