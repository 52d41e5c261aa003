"""Enter the programs from the command line."""
