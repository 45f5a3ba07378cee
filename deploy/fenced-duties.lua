-- Switches on fenced duties: rentals and returns are recorded before they are sent, and a new leader
-- settles what the one before it left (docs/fencing.md). All else keeps its default.
-- walnutlug serve --script deploy/fenced-duties.lua --config settings.json
return {
  fenced_duties = true,
}
