"""The control plane: one replicated state of the system, agreed by the control replicas (docs/design/control.md)."""
