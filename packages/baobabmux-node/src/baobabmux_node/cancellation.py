"""Cancels tasks without keeping what they refer to."""

import traceback

import curio


async def cancel(task: curio.Task) -> None:
    """Cancels a task, waits for its end and clears its frames.

    The exception that ends a cancelled task refers to its frames, and they to
    it, so that what they use would be kept until a collection of cycles.
    """
    await task.cancel()
    if task.exception is not None:
        traceback.clear_frames(task.exception.__traceback__)
