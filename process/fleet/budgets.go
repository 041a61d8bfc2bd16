package fleet

import (
	"camphorhead.example/camphorhead/request/routing"
)

// EarnHedge credits a first attempt under a profile to the profile's hedge budget and
// returns the budget, for routing.DecideHedge.
func (f *Fleet) EarnHedge(profile string, hedgePercent uint8) routing.HedgeBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hedges[profile] = f.hedges[profile].AfterFirst(hedgePercent)
	return f.hedges[profile]
}

// TakeHedge charges a hedge that is about to be sent to the budget. It reports false,
// and charges nothing, if the budget was spent since the decision.
func (f *Fleet) TakeHedge(profile string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.hedges[profile]
	if !b.Admits() {
		return false
	}
	f.hedges[profile] = b.AfterHedge()
	return true
}
