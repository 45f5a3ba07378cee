-- For the run under overload: machines stay, and an overloaded fleet is shared. Ten machines that boot in a second
-- are full within seconds, so less of a queue than the default is an overload there.
return { leader_lease = 1.5, idle_cheap = 60, idle_spot = 60, idle_ordinary = 60, headroom = 0.0,
  headroom_cheap = 0.0, patience = 3.0, shared_order = true, overload_at = 0.25 }
