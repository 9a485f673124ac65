"""The fault rig: several processes of the program, a fault proxy on every link, schedules and the checker.

A driver for tests and operators: nothing on `run`'s path imports it.  See docs/fleet.md.
"""
