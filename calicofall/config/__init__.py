"""Reads and checks the settings in the operators' files, and converts their names to those of the program."""
