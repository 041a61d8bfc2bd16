package schedule

import "time"

// Features are the optional decisions of a table. The zero value has none of them: the table then
// decides as if they did not exist.
type Features struct {
	Forecast       bool // places filling tasks by the forecast load of the serving tasks beside them
	LearnRunTimes  bool // uses the run times of ended runs instead of declared estimates
	MoveDeparting  bool // moves tasks off workers that have announced their departure
	RefuseHopeless bool // publishes the backlog by which entries refuse jobs
	// MaxPlaceWait is the longest wait of a task for a worker on its rack; 0: none.
	MaxPlaceWait time.Duration
	// FarFactor is the run time away from the rack as a multiple of that on it, until it is learned;
	// 0: unknown.
	FarFactor float64
}
