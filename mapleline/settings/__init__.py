"""What the program is told: the platform's JSON (`platform`) and our own HCL (`own`), each checked once."""
