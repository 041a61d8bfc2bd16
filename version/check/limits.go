package check

import (
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// limits warns of limits of one profile that contradict each other or have no effect.
func (w *warner) limits() {
	for _, p := range w.active() {
		objective := p.ObjectiveMs > 0 || p.ObjectiveStretch > 0
		// The deadline of a proof or watch bounds only its acceptance.
		bounded := p.Kind == job.Check || p.Kind == job.Pipeline
		if bounded && p.ObjectiveMs > 0 && p.DeadlineMs < p.ObjectiveMs {
			w.warn(KindProfile, p.Name, "deadline_ms", "%d ms is below the objective of %d ms", p.DeadlineMs, p.ObjectiveMs)
		}
		switch {
		case p.Kind == job.Pipeline && p.MaxAttempts <= 0 && objective:
			w.warn(KindProfile, p.Name, "max_attempts", "%d is no limit: a task that always fails is retried for ever, so that its job never meets the objective", p.MaxAttempts)
		case p.Kind != job.Pipeline && p.MaxAttempts != 0:
			w.warn(KindProfile, p.Name, "max_attempts", "has no effect on a %s", p.Kind)
		}
		if p.HedgePercent > 0 && p.Kind != job.Check {
			w.warn(KindProfile, p.Name, "hedge_percent", "has no effect on a %s", p.Kind)
		}
		w.taskWithinQuota(p.Name, p.Team, p.Kind, p.Resources)
	}
}

// taskWithinQuota warns of a task that exceeds the quota of its team by itself.
func (w *warner) taskWithinQuota(name, team string, kind job.Kind, need resources.Resources) {
	quota := w.doc.Teams[team].Quota
	if kind == job.Check || quota == (resources.Resources{}) || need.Fits(quota) {
		return
	}
	w.warn(KindProfile, name, "resources", "one task exceeds the quota of team %s and runs only on quota that others lend", team)
}

// capacity warns if the quotas of all teams together exceed the capacity of the workers, since a
// quota is what a team may always use.
func (w *warner) capacity(whole resources.Resources) {
	if whole == (resources.Resources{}) {
		return
	}
	var sum resources.Resources
	for _, t := range w.doc.Teams {
		if t.Quota.InRange() { // the sum of others might overflow
			sum = sum.Add(t.Quota)
		}
	}
	for _, amount := range []struct {
		name       string
		sum, whole int64
	}{
		{"milli_cpu", sum.MilliCPU, whole.MilliCPU},
		{"memory_mb", sum.MemoryMB, whole.MemoryMB},
		{"accelerators", sum.Accelerators, whole.Accelerators},
	} {
		if amount.sum > amount.whole {
			w.warn(KindDocument, "", "teams", "the quotas of all teams add up to %s = %d, the workers have %d", amount.name, amount.sum, amount.whole)
		}
	}
}

// version warns of an operators' document that no process would put in force, since versions only
// increase from 0.
func (w *warner) version(in Input, changed bool) {
	switch {
	case in.Form != OperatorsDocument:
	case in.Proposed.Version == 0:
		w.warn(KindDocument, "", "version", "a document of version 0 does not come into force")
	case changed && in.Proposed.Version <= in.InForce.Version:
		w.warn(KindDocument, "", "version", "%d does not come into force: version %d is in force", in.Proposed.Version, in.InForce.Version)
	}
}
