"""Operator tool of baobabmux."""
