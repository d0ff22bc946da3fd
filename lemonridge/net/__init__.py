"""The platform's wire: HTTP/1.1 towards clients, nodes and discovery."""
