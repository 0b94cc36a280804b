# Operators' own settings; each may be left out. These are the defaults.

# How long a part may keep tasks waiting before the leader moves them
# (the proposal's AutoscaleMultiClusterDelay).
autoscale_multi_cluster_delay_s = 10

# Seconds between two reports of free room to the leader.
room_report_s = 5

# Share of the fleet's cores that renting ahead keeps free.
headroom_share = 0.5

# Seconds without work after which a machine may be returned.
idle_return_s = 150

# Keep an account of core-seconds in the log.
account = false

# Serve submissions of many jobs and jobs' own rules (docs/condor.md).
condor = false

# Attributes of machines for such rules, beside those that every machine has:
# of all machines, of a type's, of a zone's.
# machines { OpSys = "LINUX" }
# machine_type "g8" { Software = ["ledger-4", "solver"] }
# zone "zone-a" { Department = "posting" }

# Move jobs that are over into the history (docs/history.md).
history = false

# Days for which their ends are kept there; 0: for ever.
history_keep_days = 0

# Who is served when not all can be (docs/admission.md): the part of a class's demand
# that goes ahead of rank, at most this share of all cores, once it has had less for so
# long. Classes may have their own, and a weight.
admission {
  least_served = 0.6
  share        = 0.25
  window_s     = 30
  # How long a job waits before its first task goes ahead of smaller jobs of its class.
  turn_s       = 60
  # class "calendar-api" { weight = 2 }
}
