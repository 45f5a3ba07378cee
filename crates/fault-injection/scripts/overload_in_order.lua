-- Same as overload.lua, for controller versions that do not have the settings shared_order and overload_at.
return { leader_lease = 1.5, idle_cheap = 60, idle_spot = 60, idle_ordinary = 60, headroom = 0.0,
  headroom_cheap = 0.0, patience = 3.0 }
