package placewait

import (
	"math"
	"time"
)

const (
	// demandRunTimes is the number of run times over which demand is averaged: a burst of claims is
	// followed by waits that pay, whereas a demand that lasts for several run times is steady.
	demandRunTimes = 5
	// minDemandWindow bounds that average from below for short tasks, which arrive by jobs.
	minDemandWindow = time.Second
)

// Demand estimates the share of a rack's places that new claims take up, by the claims of the recent
// past. The zero value has none.
type Demand struct {
	at      time.Time
	window  time.Duration
	load    float64
	pending float64 // of claims at the time at, which don't count for one another
}

// Add records a claim. share is the part of the rack that one place takes up.
func (d *Demand) Add(now time.Time, share float64, runTime time.Duration) {
	d.advance(now)
	window := max(demandRunTimes*runTime, minDemandWindow)
	d.window = max(window, d.window*9/10)
	d.pending += share * runTime.Seconds() / window.Seconds()
}

// Load returns the demand before the given time.
func (d *Demand) Load(now time.Time) float64 {
	d.advance(now)
	return d.load
}

func (d *Demand) advance(now time.Time) {
	passed := now.Sub(d.at)
	if passed <= 0 {
		return
	}
	if d.window > 0 {
		d.load = (d.load + d.pending) * math.Exp(-passed.Seconds()/d.window.Seconds())
	}
	d.at, d.pending = now, 0
}
