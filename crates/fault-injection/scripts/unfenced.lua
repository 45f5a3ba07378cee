-- Same as fenced.lua, for controller versions that do not have the setting fenced_duties.
return { leader_lease = 0.6, idle_cheap = 0.8, idle_spot = 0.8, idle_ordinary = 0.8, headroom = 0.0,
  headroom_cheap = 0.0, patience = 3.0 }
