package schedule

import (
	"cmp"
	"slices"
	"time"

	"camphorhead.example/camphorhead/request/fairness"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/version/profile"
)

// candidate is a ready step with its sort keys.
type candidate struct {
	step     *stepState
	profile  profile.Profile
	due      time.Time
	late     int // 1 if the job can no longer be done by due, else 0
	priority int // lower values are placed first
}

// nonUrgentOffset is added to the priority of non-urgent requests, so that urgent ones
// are placed first.
const nonUrgentOffset = 1

// candidates returns the ready steps in the order of their placement: by priority, then
// long-running tasks, which do not serve their purpose while they wait, then the jobs
// that can still be done in time, by due time. Within a priority the steps are then
// interleaved by fairOrder.
func (t *Table) candidates(now time.Time) []candidate {
	list := make([]candidate, 0, len(t.ready))
	for s := range t.ready {
		p := t.profileOf(s.job())
		c := candidate{step: s, profile: p, due: s.job().due(p), priority: p.Priority}
		if r := s.job().def.Request; r != nil && !r.Urgent {
			c.priority += nonUrgentOffset
		}
		if remaining := time.Duration(s.criticalPathMs) * time.Millisecond; !s.def.LongRunning && now.Add(remaining).After(c.due) {
			c.late = 1
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(a.priority, b.priority); c != 0 {
			return c
		}
		if a.step.def.LongRunning != b.step.def.LongRunning {
			if a.step.def.LongRunning {
				return -1
			}
			return 1
		}
		if a.late != b.late {
			return cmp.Compare(a.late, b.late)
		}
		if c := a.due.Compare(b.due); c != 0 {
			return c
		}
		if c := cmp.Compare(a.step.job().def.ID, b.step.job().def.ID); c != 0 {
			return c
		}
		return cmp.Compare(a.step.index, b.step.index)
	})
	return t.fairOrder(list)
}

// fairOrder interleaves the steps of teams and franchisees within each priority by
// their fair shares. list is sorted by priority.
func (t *Table) fairOrder(list []candidate) []candidate {
	ordered := make([]candidate, 0, len(list))
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].priority == list[0].priority {
			n++
		}
		items := make([]fairness.Item, n)
		for i, c := range list[:n] {
			items[i] = c.step.fairnessItem()
		}
		for _, i := range t.shares.Order(items) {
			ordered = append(ordered, list[i])
		}
		list = list[n:]
	}
	return ordered
}

// fairnessItem returns what one task of the step adds to the account of its franchisee,
// in milli-CPU. All jobs without a request share one account.
func (s *stepState) fairnessItem() fairness.Item {
	it := fairness.Item{Cost: s.def.Need.MilliCPU}
	if r := s.job().def.Request; r != nil {
		it.Team, it.Franchisee = r.Team, r.Franchisee
	}
	return it
}

// profileOf returns the profile of a job. For a profile that has been removed, these are
// the values that the job's definition has kept since its acceptance.
func (t *Table) profileOf(j *jobState) profile.Profile {
	if p, ok := t.cfg.Profile(j.def.Profile); ok {
		return p
	}
	return profile.Profile{
		Name: j.def.Profile, Service: j.def.Service, Priority: j.def.Priority, MaxAttempts: j.def.MaxAttempts,
	}
}

// due returns the time by which the job should be done by the objective of its profile.
func (j *jobState) due(p profile.Profile) time.Time {
	return j.addedAt.Add(objective(p, j.criticalPathMs))
}

// objective returns the time in which a job with a longest chain of steps should be done.
func objective(p profile.Profile, criticalPathMs int64) time.Duration {
	return time.Duration(p.ObjectiveStretch*float64(criticalPathMs)+float64(p.ObjectiveMs)) * time.Millisecond
}

// criticalPaths returns for each step the expected time of the longest chain of
// dependent steps that begins with it, in milliseconds. runTimesMs are the expected run
// times of the tasks of each step. Steps depend on earlier steps only.
func criticalPaths(steps []job.Step, runTimesMs []int64) []int64 {
	pathsMs := make([]int64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		pathsMs[i] += runTimesMs[i]
		for _, before := range steps[i].After {
			pathsMs[before] = max(pathsMs[before], pathsMs[i])
		}
	}
	return pathsMs
}
