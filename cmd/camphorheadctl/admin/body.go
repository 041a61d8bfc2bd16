package admin

import "camphorhead.example/camphorhead/connection/api"

// Bodies of the responses of the administration API.
type (
	Change     = api.Change
	Stop       = api.Stop
	Evacuation = api.Evacuation
	Status     = api.Status
	Agent      = api.Agent
	Timeline   = api.Timeline
)
