# Operators' settings of linnetlead, read with `--operators deploy/operators.star` and again on SIGHUP.
# Check a change before it is taken: build/linnetlead-gateway check deploy/operators.star
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

# Allowance set aside for a tender, beside the account's plan; see docs/operators/plans.md.
capacity(per_second(400), plans = percent(60))
reserve(
    "tender-88",
    account = "00000000b4d65521",
    units = 9000,
    since = instant("2026-12-15T10:00:00Z"),
    until = instant("2026-12-15T10:30:00Z"),
    pace = per_second(15),       # what cannot be used any more at this pace goes to others
)
