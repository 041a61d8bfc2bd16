package fleetload

import (
	"fmt"
	"math"
	"time"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

type servingLoad struct{ level, swing, phase float64 }

type handedIn struct {
	def       *job.Definition
	acceptMs  int64
	workMs    map[job.TaskID]float64
	objective time.Duration
	worth     float64
	doneAt    time.Time
}

func profileOf(name string) (profile.Profile, bool) {
	switch name {
	case checkProfile:
		return profile.Profile{Name: name, Service: service, MaxAttempts: 4, ObjectiveMs: 600, ObjectiveStretch: 1.5}, true
	case proofProfile:
		return profile.Profile{Name: name, Service: service, Priority: 2, MaxAttempts: 4, ObjectiveMs: 1000, ObjectiveStretch: 2}, true
	case watchProfile:
		return profile.Profile{Name: name, Service: service, ObjectiveMs: 3000, ObjectiveStretch: 2.2}, true
	}
	return profile.Profile{}, false
}

func (f *Fleet) spread(mean, spread, limit float64) float64 {
	return min(math.Max(mean*math.Exp(f.rand.NormFloat64()*spread-spread*spread/2), 0.05*mean), limit)
}

func (f *Fleet) handIn(name string, steps, width int, cpu, work, workMax, uneven, stretch, targetMs, worth float64, step func(*job.Step)) *handedIn {
	now := f.clock.Now()
	id := fmt.Sprintf("%s-%05d", name, len(f.jobs))
	j := &handedIn{def: &job.Definition{ID: id, Profile: name, AcceptedMs: now.UnixMilli(), Input: make([]byte, 500)}, acceptMs: now.UnixMilli(), workMs: map[job.TaskID]float64{}}
	chain, total := 0.0, 0.0
	for s := range steps {
		count := max(1, int(f.spread(float64(width), 0.6, 4*float64(width))))
		mean := f.spread(work, 0.5, workMax)
		def := job.Step{
			Count: count, Need: resources.Resources{MilliCPU: int64(f.spread(cpu, 0.3, 2*cpu)), MemoryMB: int64(2 * cpu)},
			EstimateMs: int64(f.spread(mean, 0.3, 2*workMax)),
		}
		if s > 0 {
			def.After = []int{s - 1}
		}
		step(&def)
		longest := 0.0
		for i := range count {
			ms := f.spread(mean, uneven, workMax)
			j.workMs[job.TaskID{Job: id, Step: s, Index: i}] = ms
			longest = max(longest, ms)
			total += ms * float64(def.Need.MilliCPU) / 1e6
		}
		chain += longest
		j.def.Steps = append(j.def.Steps, def)
	}
	j.objective = time.Duration((stretch*chain + targetMs) * float64(time.Millisecond))
	j.worth = worth * min(0.3+0.7*total/(2*float64(width)*work*cpu/1e6), 4)
	f.jobs, f.byID[id] = append(f.jobs, j), j
	f.table.Accept(now, j.def, 1, false)
	return j
}

func (f *Fleet) handInWatch() {
	image := fmt.Sprint("s", f.rand.IntN(servingImages))
	j := f.handIn(watchProfile, 1, f.spec.watchWidth, 13_000, 500, 1200, 0, 2.2, 3000, f.spec.watchWorth, func(s *job.Step) {
		s.LongRunning, s.Image, s.TargetMs, s.Spread = true, image, targetMs, 2
	})
	f.loads[j.def.ID] = servingLoad{level: 0.45, swing: 0.5, phase: 14 * f.rand.Float64()}
}

func (f *Fleet) arrivals() {
	seconds := Step.Seconds()
	if f.rand.Float64() < f.spec.checks*seconds {
		f.handIn(checkProfile, 1+f.rand.IntN(2), f.spec.checkWidth, f.spec.checkCPU, f.spec.checkMs, 2.5*f.spec.checkMs, 0.3, 1.5, 600, f.spec.checkWorth, func(*job.Step) {})
	}
	if f.rand.Float64() < f.spec.proofs*seconds {
		image := fmt.Sprint("b", f.rand.IntN(fillingImages))
		f.handIn(proofProfile, 1+f.rand.IntN(3), f.spec.proofWidth, 7000, f.spec.proofMs, 2.5*f.spec.proofMs, 0.15, 2, 1000, f.spec.proofWorth, func(s *job.Step) {
			s.Fills, s.Image, s.Checkpoints = true, image, true
		})
	}
}

func (f *Fleet) HandInWide(tasks int) {
	f.handIn(proofProfile, 1, tasks, 1000, 100, 200, 0, 2, 1000, 1, func(s *job.Step) {
		s.Count, s.Fills, s.Image = tasks, true, "b1"
	})
}
