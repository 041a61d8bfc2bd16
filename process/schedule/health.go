package schedule

import "time"

const (
	// ejectAfterFailures is the number of consecutive failed starts after which a worker
	// is ejected. A single failure is often caused by the job, as are several of one job.
	ejectAfterFailures = 2
	// firstPenalty is how long a worker gets no trial after a failed start; it doubles
	// with each further one that was ordered after that failure, up to maxPenalty.
	firstPenalty = 500 * time.Millisecond
	maxPenalty   = 30 * time.Second
	// maxResortPenalty bounds the penalty for tasks that have no other worker. Users take a
	// task for lost that waits beside free capacity for 3 s; this leaves 1 s for the report
	// of the failure and the next placement.
	maxResortPenalty = 2 * time.Second
	// resortInterval is the minimum time between two starts at an ejected worker of tasks
	// with a limit of attempts, unless the outcome of the first becomes known before.
	resortInterval = time.Second
	// startsPerTrial is the number of starts in the whole fleet whose outcome must become
	// known between two trials of an ejected worker. It limits its share of them to 1%.
	startsPerTrial = 100
	// maxTrialWait is the time after which an ejected worker gets a trial even if there
	// were fewer than startsPerTrial starts.
	maxTrialWait = 10 * time.Minute
	// trialTimeout is the time after which a trial without an outcome, for example because
	// it was refused, is followed by the next. A trial that runs has an outcome before.
	trialTimeout = 2 * startProbation
	// maxEjectedPercent bounds the share of the workers that are ejected concurrently, so
	// that a series of broken jobs cannot eject the whole fleet.
	maxEjectedPercent = 30
	// startProbation is the age at which a run counts as a successful start. It exceeds
	// the age up to which an agent reports a failure as early, plus the delay of that
	// report.
	startProbation = 3 * time.Second
)

const (
	healthWeight = 0.25 // of one run in the failure rate of its worker
	// healthHalfLife is the time after which a failure rate without new runs counts half.
	// Without that decay a worker that gets no runs would never be tried again.
	healthHalfLife = 3 * time.Second
)

// health rates one worker by the outcome of its latest runs. Its methods return the
// changed value; setHealth stores it.
type health struct {
	failureRate  float64   // decaying share of the runs that failed, at updatedAt
	updatedAt    time.Time // zero before the first run has ended
	failedStarts uint32    // consecutive ones, the latest at lastFailedAt
	lastFailedAt time.Time
	failedJob    string // of the latest failed start; empty: not caused by a job
	ejected      bool   // the worker gets no runs except trials and tasks that no other worker takes
	// A worker whose latest start failed gets no trial before penaltyUntil. An ejected one
	// gets its trial once startTracker.resolved reaches trialAtResolved, at the latest at
	// trialDeadline.
	penalty         time.Duration // after the latest failed start
	penaltyUntil    time.Time
	trialAtResolved uint64
	trialDeadline   time.Time
	trialPending    bool // the outcome of a trial, ordered at trialOrderedAt, is not known yet
	trialOrderedAt  time.Time
}

// failPct returns the failure rate, decayed to the given time, in percent.
func (h *health) failPct(now time.Time) int {
	if h.updatedAt.IsZero() {
		return 0
	}
	age := float64(now.Sub(h.updatedAt)) / float64(healthHalfLife)
	return int(100 * h.failureRate / (1 + age*age))
}

// failedStart is a start that failed and whose worker may be the cause.
type failedStart struct {
	job       string // empty if the worker itself reported to be the cause
	orderedAt time.Time
}

// afterFailedStart returns the changed health. resolved is that of startTracker. Failures of
// one job in a row count once while the worker is not ejected, since its tasks fail on any
// worker if the job is broken. The penalty grows only with starts that were ordered after the
// previous failure: many at once show no more than one.
func (h health) afterFailedStart(now time.Time, resolved uint64, f failedStart) health {
	if h.failedStarts == 0 || h.ejected || f.job == "" || f.job != h.failedJob {
		h.failedStarts++
	}
	if h.penalty == 0 || f.orderedAt.After(h.lastFailedAt) {
		h.penalty = min(max(2*h.penalty, firstPenalty), maxPenalty)
	}
	h.lastFailedAt, h.failedJob, h.trialPending = now, f.job, false
	h.ejected = h.failedStarts >= ejectAfterFailures
	h.penaltyUntil = now.Add(h.penalty)
	h.trialAtResolved, h.trialDeadline = resolved+startsPerTrial, now.Add(maxTrialWait)
	return h
}

// afterSuccessfulStart clears the failed starts. It clears the whole health of an ejected
// worker, which has been repaired and which its earlier failures would keep idle.
func (h health) afterSuccessfulStart() health {
	if h.ejected {
		return health{}
	}
	h.failedStarts, h.failedJob, h.penalty, h.trialPending = 0, "", 0, false
	return h
}

// trialDue reports whether a worker whose latest start failed may get a trial.
func (h *health) trialDue(now time.Time, resolved uint64) bool {
	if now.Before(h.penaltyUntil) {
		return false
	}
	return !h.ejected || h.trialPending || resolved >= h.trialAtResolved || !now.Before(h.trialDeadline)
}

func (h health) afterTrialOrdered(now time.Time, resolved uint64) health {
	h.penaltyUntil = now.Add(trialTimeout)
	h.trialAtResolved, h.trialDeadline = resolved+startsPerTrial, now.Add(maxTrialWait)
	h.trialPending, h.trialOrderedAt = true, now
	return h
}

// resortDue reports whether an ejected worker may get a task that has no other worker, which is
// a trial too. limited is set if the task may fail only a limited number of times.
func (h *health) resortDue(now time.Time, limited bool) bool {
	if limited && h.trialPending && now.Sub(h.trialOrderedAt) < resortInterval {
		return false
	}
	return now.Sub(h.lastFailedAt) >= min(h.penalty, maxResortPenalty)
}
