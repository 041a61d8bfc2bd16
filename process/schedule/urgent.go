package schedule

import (
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/placement"
)

// reservationTimeout is how long an urgent task waits for the runs that it preempts.
const reservationTimeout = 3 * time.Second

// reservation is the capacity that is reserved for an urgent task at a worker while runs
// are being stopped there, or for a task while its run on a departing worker is being stopped. It
// counts as used.
type reservation struct {
	agent   *agentState // nil: no reservation
	until   time.Time
	victims []job.RunKey
}

// useReservation places an urgent task in its reserved capacity once the preempted runs
// have ended or the reservation has expired, and lets it wait until then. It reports
// false if there is no reservation, or if it was dropped because the task does not fit.
func (t *Table) useReservation(now time.Time, task *taskState) bool {
	r := task.reservation
	if r.agent == nil {
		return false
	}
	waits := false
	for _, key := range r.victims {
		waits = waits || r.agent.runs[key] != nil
	}
	if waits && !now.After(r.until) {
		return true
	}
	t.dropReservation(task)
	a := r.agent
	fits := t.agents[a.id] == a && t.schedulable(now, a) && task.step.def.Charge().Fits(a.node.Capacity.Sub(a.node.Used))
	if !fits {
		return false
	}
	t.assign(now, task, a, 0)
	return true
}

func (t *Table) dropReservation(task *taskState) {
	if a := task.reservation.agent; a != nil {
		a.node.Used, a.fillLoad = a.node.Used.Sub(task.step.def.Charge()), nil
		task.reservation = reservation{}
		t.needsPass = true
	}
}

// preemptFor reserves capacity for an urgent task at one worker and preempts the runs
// that use it: as few as possible, and those that lose the least work. It does nothing if
// no worker can be freed that way.
func (t *Table) preemptFor(v *view, task *taskState) {
	j := task.step.job()
	need := task.step.def.Charge()
	var candidates []*agentState
	var workers []placement.PreemptibleWorker
	for _, a := range v.agents {
		if !t.schedulable(v.now, a) || a.health.ejected {
			continue
		}
		w := placement.PreemptibleWorker{
			Free: a.node.Capacity.Sub(a.node.Used), Remote: a.location.Region != j.def.Request.Region,
		}
		for key, run := range a.runs {
			if run.preemptible() {
				w.Tasks = append(w.Tasks, placement.Task{
					Key: key, Resources: run.task.step.def.Charge(), CheckpointMs: run.checkpointAt.UnixMilli(),
				})
			}
		}
		candidates, workers = append(candidates, a), append(workers, w)
	}
	at, victims := placement.Preempt(need, workers, v.now.UnixMilli())
	if at < 0 || len(victims) == 0 {
		return
	}
	a := candidates[at]
	task.reservation = reservation{agent: a, until: v.now.Add(reservationTimeout)}
	a.node.Used, a.fillLoad = a.node.Used.Add(need), nil
	for _, victim := range victims {
		task.reservation.victims = append(task.reservation.victims, victim.Key)
		t.cfg.Meter.Add(metrics.Preemptions, 1)
		t.preemptRun(a.runs[victim.Key])
	}
	t.cfg.Log.Emit(event.CapacityReserved, "job", j.def.ID, "agent", a.id, "tasks", len(victims))
}

// preemptible reports whether urgent work may preempt the run: it is a proof of a
// non-urgent request, whose task can resume elsewhere from its checkpoint.
func (r *runState) preemptible() bool {
	request := r.task.step.job().def.Request
	return request != nil && request.Kind == job.Proof && !request.Urgent &&
		!r.stopping && !r.orphaned && !r.confirmedAt.IsZero()
}
