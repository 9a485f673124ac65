"""Settings, checked once when they are read: the platform's JSON (`platform`) and the program's own HCL (`own`)."""
