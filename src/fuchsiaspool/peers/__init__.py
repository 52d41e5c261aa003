"""Exchange messages with other nodes."""
