# Operators' settings of linnetlead, read with `--operators deploy/operators.star` and again on SIGHUP.
# Check a change before it is taken: build/linnetlead check deploy/operators.star
# The platform's `run` line does not name this file: there every call goes to all workers.

standing = pool("standing", kinds = ["c2-std"])
extra = pool("extra", kinds = ["c2-fast"])

# Switches the extra workers on for a tender deadline, in steps, and back if they serve worse.
move(
    "tender",
    run = 1,                     # the next number starts anew a move that has ended
    source = standing,
    target = extra,
    stages = [
        stage(percent(5), hold = seconds(20)),
        stage(percent(25), hold = seconds(20)),
        stage(percent(50), hold = seconds(30)),
        stage(percent(100), hold = seconds(30)),
    ],
    order = "pause",             # "run" lets it go, "abort" undoes it
    deadline = minutes(30),
)
