package fleetload

import (
	"slices"
	"time"
)

// Result is what the load has earned, as shares of what it could have.
type Result struct {
	Checks, Proofs, Watches, Total float64
	OverSeconds                    float64 // of serving tasks beside filling ones
	PassP99                        time.Duration
	StartsPerSecond                float64
}

// Result rates the jobs that were handed in between two times after the start: those done within
// their objective count fully, those within three times it count 0.15. A window of a serving job
// counts the share of its tasks at work, less four times the share that filling tasks have brought
// over the target.
func (f *Fleet) Result(from, to time.Duration) Result {
	owed, earned, r := map[string]float64{}, map[string]float64{}, Result{}
	for _, j := range f.jobs {
		at := time.UnixMilli(j.acceptMs)
		if j.def.Profile == watchProfile {
			for w := int(from / windowLength); w < int(to/windowLength); w++ {
				over := 0.0
				if w < len(f.windows[j.def.ID]) {
					over = f.windows[j.def.ID][w]
				}
				r.OverSeconds += over
				owed[watchProfile] += f.spec.watchWorth
				earned[watchProfile] += f.spec.watchWorth * max(0, 1-4*over/windowLength.Seconds()/float64(j.def.Steps[0].Count))
			}
			continue
		}
		if at.Before(f.began.Add(from)) || at.After(f.began.Add(to)) {
			continue
		}
		owed[j.def.Profile] += j.worth
		switch took := j.doneAt.Sub(at); {
		case j.doneAt.IsZero():
		case took <= j.objective:
			earned[j.def.Profile] += j.worth
		case took <= 3*j.objective:
			earned[j.def.Profile] += 0.15 * j.worth
		}
	}
	share := func(name string) float64 { return earned[name] / owed[name] }
	r.Checks, r.Proofs, r.Watches = share(checkProfile), share(proofProfile), share(watchProfile)
	for name := range owed {
		r.Total += earned[name]
	}
	r.Total /= owed[checkProfile] + owed[proofProfile] + owed[watchProfile]
	passes := slices.Sorted(slices.Values(f.Passes))
	r.PassP99 = passes[len(passes)*99/100]
	r.StartsPerSecond = float64(f.Starts) / f.clock.Since(f.began).Seconds()
	return r
}
