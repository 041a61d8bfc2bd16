package schedule

import (
	"time"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/quota"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	// maxReclaimsPerRound bounds the jobs of lenders for which one round reclaims quota.
	maxReclaimsPerRound = 8
	// reclaimInterval is the time between two rounds. It lets the preempted jobs end and
	// the jobs of the lenders start.
	reclaimInterval = 4 * time.Second
)

// quotas holds the use and the unmet demand, by team.
type quotas struct {
	used map[string]resources.Resources
	// unmetDemand is the need of the tasks within the quota that found no worker in the
	// latest pass, unmetTaskNeed that of one of them.
	unmetDemand, unmetTaskNeed map[string]resources.Resources
	nextReclaim                time.Time // earliest time of the next round
}

func newQuotas() quotas {
	return quotas{used: map[string]resources.Resources{}}
}

// teamWeight returns a team's weight for the fair order: 0 for an unknown team, 1 if no
// teams are set.
func (t *Table) teamWeight(team string) uint16 {
	if t.cfg.Teams == nil {
		return 1
	}
	return t.cfg.Teams()[team].Weight
}

// teams returns the teams with their use and their unmet demand of the latest finished
// pass; nil if no teams are set.
func (t *Table) teams() map[string]quota.Team {
	if t.cfg.Teams == nil {
		return nil
	}
	limits := t.cfg.Teams()
	teams := make(map[string]quota.Team, len(limits))
	for name, limit := range limits {
		teams[name] = quota.Team{Quota: limit.Quota, Used: t.quotas.used[name], Pending: t.quotas.unmetDemand[name]}
	}
	return teams
}

// quotaGrant decides whether the job's team may start a task now. Urgent work counts
// against the quota, but never waits for it.
func (v *view) quotaGrant(j *jobState, need resources.Resources) quota.Grant {
	r := j.def.Request
	if r == nil || r.Team == "" {
		return quota.Unlimited
	}
	grant := quota.Decide(v.teams, r.Team, need)
	if grant == quota.Refused && r.Urgent {
		return quota.Borrowed
	}
	return grant
}

// adjustTeamUsage adds the need of a run to the use of its team, or subtracts it (sign -1).
func (t *Table) adjustTeamUsage(j *jobState, need resources.Resources, sign int64) {
	if j.def.Request == nil || j.def.Request.Team == "" {
		return
	}
	team := j.def.Request.Team
	t.quotas.used[team] = t.quotas.used[team].Add(scaled(need, sign))
}

func scaled(r resources.Resources, n int64) resources.Resources {
	return resources.Resources{MilliCPU: n * r.MilliCPU, MemoryMB: n * r.MemoryMB, Accelerators: n * r.Accelerators}
}

// recordUnmetDemand records a task within its team's quota that found no worker.
func (v *view) recordUnmetDemand(j *jobState, need resources.Resources) {
	team := j.def.Request.Team
	v.unmetDemand[team] = v.unmetDemand[team].Add(need)
	v.unmetTaskNeed[team] = need
}

// reclaimBorrowed preempts the newest jobs of borrowing teams if a lending team has unmet
// demand within its quota.
func (t *Table) reclaimBorrowed(v *view) {
	t.quotas.unmetDemand, t.quotas.unmetTaskNeed = v.unmetDemand, v.unmetTaskNeed
	if len(v.unmetDemand) == 0 || v.now.Before(t.quotas.nextReclaim) {
		return
	}
	teams := t.teams()
	owed := quota.Owed(teams)
	needs := quota.ReclaimNeeds(teams, func(team string) resources.Resources { return v.unmetTaskNeed[team] }, maxReclaimsPerRound)
	if len(owed) == 0 || len(needs) == 0 {
		return
	}
	t.quotas.nextReclaim = v.now.Add(reclaimInterval)
	jobs, runs, free := t.borrowers(v, owed)
	for _, need := range needs {
		var victims []quota.Job
		victims, owed = quota.Victims(owed, need, jobs, free)
		for _, victim := range victims {
			t.cfg.Meter.Add(metrics.QuotaPreemptions, 1)
			t.preemptRun(runs[victim.ID])
			free[victim.Worker] = free[victim.Worker].Add(victim.Resources)
			jobs = without(jobs, victim.ID)
		}
		if len(victims) > 0 {
			free[victims[0].Worker] = free[victims[0].Worker].Sub(need)
		}
	}
}

// borrowers returns the non-urgent jobs of the teams in owed with a run on a schedulable
// worker, their runs by job id, and the free capacity of these workers by agent id.
func (t *Table) borrowers(v *view, owed map[string]resources.Resources) (jobs []quota.Job, runs map[string]*runState, free map[string]resources.Resources) {
	runs, free = map[string]*runState{}, map[string]resources.Resources{}
	for _, a := range v.agents {
		if !t.schedulable(v.now, a) {
			continue
		}
		for _, run := range a.runs {
			r := run.task.step.job().def.Request
			if r == nil || r.Urgent || run.stopping {
				continue
			}
			if _, borrows := owed[r.Team]; !borrows {
				continue
			}
			id := run.task.step.job().def.ID
			runs[id] = run
			jobs = append(jobs, quota.Job{
				ID: id, Team: r.Team, Worker: a.id, Resources: run.task.step.def.Charge(), StartedMs: run.orderedAt.UnixMilli(),
			})
		}
		free[a.id] = a.node.Capacity.Sub(a.node.Used)
	}
	return jobs, runs, free
}

func without(jobs []quota.Job, id string) []quota.Job {
	kept := make([]quota.Job, 0, len(jobs))
	for _, j := range jobs {
		if j.ID != id {
			kept = append(kept, j)
		}
	}
	return kept
}

// preemptRun stops a run in favour of another task. Its own is requeued when it has ended.
func (t *Table) preemptRun(run *runState) {
	run.cause = job.CausePreempted
	t.stop(run)
}
