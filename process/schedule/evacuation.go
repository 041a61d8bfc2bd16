package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/event"
)

// SetEvacuated replaces the failure domains whose workers get no new runs. Starts there that have
// not been sent are placed again; runs that are there go on.
func (t *Table) SetEvacuated(now time.Time, domains []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]bool, len(domains))
	for _, d := range domains {
		next[d] = true
		if !t.evacuated[d] {
			workers, tasks := t.withdrawStarts(now, d)
			t.cfg.Log.Emit(event.EvacuationBegun, "subject", d, "term", t.cfg.Term, "workers", workers, "tasks", tasks)
		}
	}
	for d := range t.evacuated {
		if !next[d] {
			t.cfg.Log.Emit(event.EvacuationEnded, "subject", d, "term", t.cfg.Term)
			t.needsPass = true
		}
	}
	t.evacuated = next
}

// withdrawStarts places the tasks of unsent starts in a failure domain again. It returns the number
// of its workers and of the runs there.
func (t *Table) withdrawStarts(now time.Time, domain string) (workers, tasks int) {
	for _, a := range t.agents {
		if a.location.Domain != domain {
			continue
		}
		workers++
		for _, run := range slices.Clone(a.pendingStarts) {
			t.withdraw(now, run)
		}
		tasks += len(a.runs)
	}
	return workers, tasks
}

// withdraw places the task of an unsent start again. The other members of a gang make no progress
// without it, so they are withdrawn or stopped too.
func (t *Table) withdraw(now time.Time, run *runState) {
	if run.agent.runs[run.key()] != run {
		return // withdrawn with another member of its gang
	}
	t.release(run)
	t.requeue(now, run.task)
	s := run.task.step
	if !s.def.Gang {
		return
	}
	for i := range s.tasks {
		switch member := s.tasks[i].run; {
		case member == nil:
		case slices.Contains(member.agent.pendingStarts, member):
			t.withdraw(now, member)
		default:
			t.stop(member)
		}
	}
}

// Evacuated returns the failure domains whose workers get no new runs, in no order.
func (t *Table) Evacuated() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]string, 0, len(t.evacuated))
	for d := range t.evacuated {
		list = append(list, d)
	}
	return list
}
