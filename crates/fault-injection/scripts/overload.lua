-- Settings of the overload scenario: idle machines are kept, and an overloaded cluster is shared between the teams.
-- The ten machines boot in one second and are full within seconds, so overload_at is below its default: a shorter
-- queue already means overload.
return { leader_lease = 1.5, idle_cheap = 60, idle_spot = 60, idle_ordinary = 60, headroom = 0.0,
  headroom_cheap = 0.0, patience = 3.0, shared_order = true, overload_at = 0.25 }
