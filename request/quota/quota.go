// Package quota decides whether a team may start a job, and which jobs are preempted
// to reclaim lent resources.
//
// A team may always use its quota. It may borrow the quota that other teams neither
// use nor request. A team that finds no free capacity within its quota reclaims what
// it has lent: the newest jobs of borrowers are preempted. This takes a borrower
// below its quota by less than one job, and that job then waits as a borrowing one,
// so two teams never preempt each other in turn. A team without a quota is unlimited
// and lends nothing.
//
// The caller guards the arguments with its lock.
package quota

import (
	"cmp"
	"maps"
	"slices"

	"camphorhead.example/camphorhead/request/resources"
)

// Team is the quota and the use of one team in the whole fleet.
type Team struct {
	Quota resources.Resources // zero for an unlimited team
	Used  resources.Resources // by the team's jobs
	// Pending is requested by jobs within the quota that found no free capacity.
	Pending resources.Resources
}

func (t Team) isLimited() bool { return t.Quota != resources.Resources{} }

// borrowed returns what the team uses beyond its quota.
func (t Team) borrowed() resources.Resources { return positive(t.Used.Sub(t.Quota)) }

// idle returns what the team can lend.
func (t Team) idle() resources.Resources { return positive(t.Quota.Sub(t.Used).Sub(t.Pending)) }

// reclaimable returns the pending part of the unused quota.
func (t Team) reclaimable() resources.Resources {
	return least(t.Pending, positive(t.Quota.Sub(t.Used)))
}

// Grant is the decision whether a job may start, and on which grounds.
type Grant uint8

// The grants.
const (
	Refused     Grant = iota
	Unlimited         // the team has no quota
	WithinQuota       // the job fits into the rest of the team's quota
	Borrowed          // the job uses quota that other teams do not use
)

// Decide returns whether a team may start a job with the given need. What all teams
// borrow together must fit into the idle quota of the other teams.
func Decide(teams map[string]Team, name string, need resources.Resources) Grant {
	team, known := teams[name]
	if !known || !team.isLimited() {
		return Unlimited
	}
	team.Used = team.Used.Add(need)
	if team.Used.Fits(team.Quota) {
		return WithinQuota
	}
	borrowed := team.borrowed()
	var idle resources.Resources
	for other, t := range teams {
		if other == name || !t.isLimited() {
			continue
		}
		idle = idle.Add(t.idle())
		borrowed = borrowed.Add(t.borrowed())
	}
	if borrowed.Fits(idle) {
		return Borrowed
	}
	return Refused
}

// Owed returns what each borrower must return, so that all teams can reclaim their
// quota. The team that has borrowed the most processors returns first.
func Owed(teams map[string]Team) map[string]resources.Resources {
	var toReclaim resources.Resources
	var borrowers []string
	for name, t := range teams {
		if !t.isLimited() {
			continue
		}
		toReclaim = toReclaim.Add(t.reclaimable())
		if t.borrowed() != (resources.Resources{}) {
			borrowers = append(borrowers, name)
		}
	}
	slices.SortFunc(borrowers, func(a, b string) int {
		more := cmp.Compare(teams[b].borrowed().MilliCPU, teams[a].borrowed().MilliCPU)
		return cmp.Or(more, cmp.Compare(a, b))
	})
	owed := map[string]resources.Resources{}
	for _, name := range borrowers {
		part := least(toReclaim, teams[name].borrowed())
		if part != (resources.Resources{}) {
			owed[name] = part
			toReclaim = toReclaim.Sub(part)
		}
	}
	return owed
}

// ReclaimNeeds returns the needs of at most limit jobs for which teams may reclaim
// quota, ordered by team name. needOf returns the need of one pending job of a team, or
// the zero value if it has none.
func ReclaimNeeds(teams map[string]Team, needOf func(team string) resources.Resources, limit int) []resources.Resources {
	var needs []resources.Resources
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		left, need := teams[name].reclaimable(), needOf(name)
		for need != (resources.Resources{}) && need.Fits(left) && len(needs) < limit {
			needs = append(needs, need)
			left = left.Sub(need)
		}
	}
	return needs
}

// Job is a running job of a borrower that may be preempted.
type Job struct {
	ID        string
	Team      string
	Worker    string
	Resources resources.Resources
	StartedMs int64 // unix time in milliseconds
}

// Victims returns the jobs to preempt so that one job with the given need fits on one
// worker, and what is owed after that. The newest jobs of borrowers are preempted, on
// the worker with the fewest victims, among equals the one whose victims are newest.
// free is the free capacity by worker.
func Victims(owed map[string]resources.Resources, need resources.Resources, jobs []Job, free map[string]resources.Resources) (victims []Job, stillOwed map[string]resources.Resources) {
	byWorker := map[string][]Job{}
	for _, j := range jobs {
		byWorker[j.Worker] = append(byWorker[j.Worker], j)
	}
	stillOwed = owed
	for worker, list := range byWorker {
		missing := need.Sub(free[worker])
		if need.Fits(free[worker]) {
			missing = need // this free capacity is reserved for urgent work, or the job would have been placed
		}
		chosen, left, ok := victimsOnWorker(owed, missing, list)
		if ok && better(chosen, victims) {
			victims, stillOwed = chosen, left
		}
	}
	return victims, stillOwed
}

// victimsOnWorker chooses the newest jobs of one worker until they free missing. A job
// is chosen only while its team still owes resources. It sorts jobs in place.
func victimsOnWorker(owed map[string]resources.Resources, missing resources.Resources, jobs []Job) (chosen []Job, stillOwed map[string]resources.Resources, ok bool) {
	stillOwed = maps.Clone(owed)
	slices.SortFunc(jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(b.StartedMs, a.StartedMs), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range jobs {
		if missing.Fits(resources.Resources{}) {
			break
		}
		if stillOwed[j.Team] == (resources.Resources{}) || positive(missing) == positive(missing.Sub(j.Resources)) {
			continue
		}
		chosen = append(chosen, j)
		missing = missing.Sub(j.Resources)
		stillOwed[j.Team] = positive(stillOwed[j.Team].Sub(j.Resources))
	}
	return chosen, stillOwed, missing.Fits(resources.Resources{}) && len(chosen) > 0
}

// better reports whether victims a are preferred to b; both are sorted newest first.
func better(a, b []Job) bool {
	if len(b) == 0 || len(a) != len(b) {
		return len(b) == 0 || len(a) < len(b)
	}
	oldestA, oldestB := a[len(a)-1], b[len(b)-1]
	if oldestA.StartedMs != oldestB.StartedMs {
		return oldestA.StartedMs > oldestB.StartedMs
	}
	return oldestA.ID < oldestB.ID
}

func positive(r resources.Resources) resources.Resources {
	return resources.Resources{MilliCPU: max(r.MilliCPU, 0), MemoryMB: max(r.MemoryMB, 0), Accelerators: max(r.Accelerators, 0)}
}

func least(a, b resources.Resources) resources.Resources {
	return resources.Resources{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
