"""What the program is told: the platform's settings, the operator's file, and plain types for addresses."""
