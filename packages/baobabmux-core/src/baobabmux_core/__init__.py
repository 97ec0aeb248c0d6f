"""Scheduling decisions of baobabmux, free of input and output."""
