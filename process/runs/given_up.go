package runs

import (
	"time"

	"camphorhead.example/camphorhead/request/job"
)

// givenUpRuns holds the latest runs that the agent has reported as ended or refused without the
// worker having listed their end, so that a run which the worker lists afterwards is logged.
// Node.mu guards it.
type givenUpRuns map[job.RunKey]givenUpRun

type givenUpRun struct {
	at    time.Time
	cause string // for the log
}

const (
	maxGivenUpRuns = 256 // the oldest one is dropped for the next
	// givenUpRetention exceeds the time for which a worker may execute a call late.
	givenUpRetention = time.Minute
)

// add adds a run, and drops those older than givenUpRetention when there are maxGivenUpRuns, or
// else the oldest one.
func (g givenUpRuns) add(now time.Time, key job.RunKey, cause string) {
	if len(g) >= maxGivenUpRuns {
		oldest, at := key, time.Time{}
		for k, r := range g {
			if now.Sub(r.at) > givenUpRetention {
				delete(g, k)
			}
			if at.IsZero() || r.at.Before(at) {
				oldest, at = k, r.at
			}
		}
		delete(g, oldest)
	}
	g[key] = givenUpRun{at: now, cause: cause}
}
