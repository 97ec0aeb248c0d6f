"""The baobabmux node."""
