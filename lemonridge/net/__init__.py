"""The platform's network protocols: HTTP/1.1 to clients, endpoints and discovery."""
