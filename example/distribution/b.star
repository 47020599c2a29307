plan("gold", rate = per_second(40), burst = 80)
plan("silver", rate = per_second(2), burst = 4)
account("00000000b4d65521", plan = "silver")
