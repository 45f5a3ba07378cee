-- Short leases and short idle times (in seconds), so that the leader and the set of machines change many times
-- a minute.
return { leader_lease = 0.6, idle_cheap = 0.8, idle_spot = 0.8, idle_ordinary = 0.8, headroom = 0.0,
  headroom_cheap = 0.0, patience = 3.0, fenced_duties = true }
