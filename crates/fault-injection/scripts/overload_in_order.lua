-- The same for sources without a shared order.
return { leader_lease = 1.5, idle_cheap = 60, idle_spot = 60, idle_ordinary = 60, headroom = 0.0,
  headroom_cheap = 0.0, patience = 3.0 }
