"""The fault rig: a fleet of processes of the program, a fault proxy on every link, schedules and the checker.

Tests and operators run it; `mapleline run` imports nothing from it.  See docs/fleet.md.
"""
