# What the relays distribute: given with `linnetlead-gateway change apply`, not with --operators.
plan("gold", rate = per_second(40), burst = 80)
account("00000000b4d65521", plan = "gold")
