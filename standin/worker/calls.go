package worker

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

func refuse(reason platform.Refusal) error { return &platform.RefusalError{Reason: reason} }

// Hold implements platform.Worker. It waits for an end that was in no listing yet.
func (w *Worker) Hold(ctx context.Context, r platform.HoldRequest) (platform.Listing, error) {
	if err := w.waitWhilePaused(ctx); err != nil {
		return platform.Listing{}, err
	}
	life, err := w.applyHold(r)
	if err != nil {
		return platform.Listing{}, err
	}
	w.awaitEnd(ctx, r.Wait)
	if err := w.waitWhilePaused(ctx); err != nil {
		return platform.Listing{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed {
		return platform.Listing{}, platform.ErrUnavailable
	}
	if w.life != life {
		return platform.Listing{}, platform.ErrUncertain
	}
	return w.list(w.applyDue()), nil
}

// applyHold checks the call, extends the lease and drops the ends up to r.Recorded. life is
// the one that received the call.
func (w *Worker) applyHold(r platform.HoldRequest) (life int, err error) {
	defer w.loop.Wake()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyDue()
	if err := w.checkCall(r.Token, r.Instance); err != nil {
		return 0, err
	}
	w.extendLease(r.LeaseUntilMs)
	w.ended = slices.DeleteFunc(w.ended, func(e platform.EndedTask) bool { return e.Number <= r.Recorded })
	return w.life, nil
}

// checkCall fails after Kill, for a call to another instance and for a fencing token below
// an earlier one; else it records the token. The caller holds the lock.
func (w *Worker) checkCall(token int64, instance string) error {
	switch {
	case w.killed:
		return platform.ErrUnavailable
	case instance != "" && instance != w.config.Name:
		return refuse(platform.RefusedInstance)
	case token < w.token:
		return refuse(platform.RefusedFenced)
	}
	w.token = token
	return nil
}

// extendLease moves the end of the common lease of all tasks, unless it would become
// earlier or is not in the future. The caller holds the lock.
func (w *Worker) extendLease(untilMs int64) {
	now := w.clock.nowMs()
	if untilMs <= now {
		return
	}
	if w.config.MaxLease > 0 {
		untilMs = min(untilMs, now+w.config.MaxLease.Milliseconds())
	}
	if end := w.clock.baseTime(untilMs); end.After(w.leaseEnd) {
		w.leaseEnd = end
		for _, t := range w.running {
			t.leaseEnd = end
			w.due.Set(t.key(), t.nextEvent())
		}
	}
}

// awaitEnd waits for an end that was in no listing yet, at most for wait or until ctx ends.
func (w *Worker) awaitEnd(ctx context.Context, wait time.Duration) {
	w.mu.Lock()
	w.applyDue()
	unlisted, nextEnd := w.lastEnd > w.lastListedEnd, w.nextEnd
	w.mu.Unlock()
	if unlisted || wait <= 0 {
		return
	}
	timer := w.config.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-nextEnd:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// list returns a listing. The caller holds the lock.
func (w *Worker) list(now time.Time) platform.Listing {
	l := platform.Listing{
		Worker: w.config.Name, Capacity: w.capacity, StartedMs: w.startedMs, ClockMs: w.clock.nowMs(),
		Ended: slices.Clone(w.ended), UsageAgeMs: w.config.UsageLag.Milliseconds(),
	}
	for _, t := range w.running {
		t.advance(now)
		l.Running = append(l.Running, t.listed(now.Add(-w.config.UsageLag)))
	}
	slices.SortFunc(l.Running, func(a, b platform.RunningTask) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	w.lastListedEnd = w.lastEnd
	return l
}

// Start implements platform.Worker. While one run of a task exists, it refuses every other
// run of the task, but applies the lease. It does not refuse a start for lack of capacity.
func (w *Worker) Start(ctx context.Context, req platform.RunRequest) (clockMs int64, err error) {
	if err := w.waitWhilePaused(ctx); err != nil {
		return 0, err
	}
	progress, err := resumeFrom(req)
	if err != nil {
		return 0, err
	}
	if req.Need == (resources.Resources{}) {
		req.Need = w.config.Need
	}
	behaviour := w.behaviourOf(req)
	defer w.loop.Wake()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.applyDue()
	if err := w.checkCall(req.Token, req.Instance); err != nil {
		return 0, err
	}
	if t := w.running[req.Task]; t != nil && t.req.Run == req.Run {
		w.extendLease(req.LeaseUntilMs)
		return w.clock.nowMs(), nil
	}
	if req.Run <= w.highestRun[req.Task] || w.running[req.Task] != nil {
		w.extendLease(req.LeaseUntilMs)
		return 0, refuse(platform.RefusedOldRun)
	}
	if req.LeaseUntilMs <= w.clock.nowMs() {
		return 0, refuse(platform.RefusedLeaseExpired)
	}
	w.extendLease(req.LeaseUntilMs)
	if w.failAll {
		behaviour.FailAfter = failAllAfter(req, behaviour, progress, w.config.FailAllAfter)
	}
	t := newTask(req, behaviour, progress, now, w.leaseEnd)
	t.record.Life, t.record.Late = w.life, ctx.Value(lateCall{}) != nil
	w.addTask(t)
	return w.clock.nowMs(), nil
}

// resumeFrom returns the progress in the checkpoint of a request; 0 without a checkpoint.
func resumeFrom(req platform.RunRequest) (time.Duration, error) {
	if req.Checkpoint == "" {
		return 0, nil
	}
	id, _, progress, err := ParseCheckpoint(req.Checkpoint)
	if err != nil || id != req.Task.Job {
		return 0, refuse(platform.RefusedMalformed)
	}
	return progress, nil
}

// failAllAfter returns limit, but at most the rest of the work and at least 1: 0 means never.
func failAllAfter(req platform.RunRequest, behaviour TaskBehaviour, progress, limit time.Duration) time.Duration {
	if req.LongRunning {
		return limit
	}
	return max(min(limit, behaviour.Duration-progress), 1)
}

// addTask adds a running task and counts overcommits. The caller holds the lock.
func (w *Worker) addTask(t *task) {
	w.highestRun[t.req.Task] = t.req.Run
	w.running[t.req.Task] = t
	w.records = append(w.records, t.record)
	w.declared = w.declared.Add(t.req.Need)
	w.real = w.real.Add(t.behaviour.Real)
	if !w.declared.Fits(w.capacity) {
		w.overcommits.declared++
	}
	if w.real.MemoryMB > w.capacity.MemoryMB {
		w.overcommits.real++
	}
	w.due.Set(t.key(), t.nextEvent())
}

// Stop implements platform.Worker. It also ends earlier runs and refuses later starts of both.
func (w *Worker) Stop(ctx context.Context, run job.RunKey, token int64, instance string) error {
	return w.changeRun(ctx, token, instance, func(now time.Time) error {
		w.highestRun[run.Task] = max(w.highestRun[run.Task], run.Run)
		if t := w.running[run.Task]; t != nil && t.req.Run <= run.Run {
			t.advance(now)
			t.saveCheckpoint(now)
			w.end(t, now, job.EndStopped, OutcomeStopped, "stopped on request")
		}
		return nil
	})
}

// Throttle implements platform.Worker.
func (w *Worker) Throttle(ctx context.Context, run job.RunKey, percent int, token int64, instance string) error {
	if percent < 0 || percent > 100 {
		return errs.New("worker: throttle of %d percent is not between 0 and 100", percent)
	}
	return w.changeRun(ctx, token, instance, func(now time.Time) error {
		t := w.running[run.Task]
		if t == nil || t.req.Run != run.Run {
			return refuse(platform.RefusedOldRun)
		}
		t.advance(now)
		t.setThrottle(now, percent)
		w.due.Set(t.key(), t.nextEvent())
		return nil
	})
}

// changeRun calls apply under the lock if checkCall accepts the call.
func (w *Worker) changeRun(ctx context.Context, token int64, instance string, apply func(time.Time) error) error {
	if err := w.waitWhilePaused(ctx); err != nil {
		return err
	}
	defer w.loop.Wake()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.applyDue()
	if err := w.checkCall(token, instance); err != nil {
		return err
	}
	return apply(now)
}
