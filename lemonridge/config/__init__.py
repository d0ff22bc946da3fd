"""Configuration: the platform's settings, the operator's file, and the types that hold their values."""
