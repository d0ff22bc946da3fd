"""A change of policy over the whole fleet: in force everywhere from one moment on, or nowhere."""
