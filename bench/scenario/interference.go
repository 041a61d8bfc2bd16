package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/standin/interference"
	"camphorhead.example/standin/worker"
)

const (
	interferenceService  = 40 * time.Millisecond
	interferenceDeadline = 2 * time.Second
	// interferenceLoad is the load of checks as a share of all targets' capacity.
	interferenceLoad = 0.25
	interferenceLag  = time.Second
	// interferenceWarmup fills the fleet and lets the control of interference,
	// whose times are not scaled, act a few times before the measurement.
	// checksWarmup is enough without batch tasks.
	interferenceWarmup = 16 * time.Second
	checksWarmup       = 4 * time.Second
	// checksAlone is for how long checks run before the first batch task, so that
	// agents know the service time without batch tasks.
	checksAlone = 5 * time.Second
	// batchProfiles is the number of kinds of batch tasks.
	batchProfiles = 8
	// quietRun and noisyWave are the lengths of the alternating runs of tasks in the queue.
	quietRun, noisyWave = 80, 40
	minTask, maxTask    = 6 * time.Second, 14 * time.Second
	// servicePartition is the number of workers that the partitioned policy
	// gives to services; their targets are loaded to 69%.
	servicePartition = 4
)

var batchNeed = resources.Resources{MilliCPU: 8000, MemoryMB: 16_000}

const (
	withoutBatch  = "without batch"
	withoutChecks = "without checks"
)

func interferenceScenario() definition {
	variants := []variant{
		{string(Default), Default, measureInterference(Default, true, true)},
		{string(Default) + " " + withoutBatch, Default, measureInterference(Default, true, false)},
		{string(Default) + " " + withoutChecks, Default, measureInterference(Default, false, true)},
		{string(Naive), Naive, measureInterference(Naive, true, true)},
		{string(Partitioned), Partitioned, measureInterference(Partitioned, true, true)},
	}
	return definition{
		Description: Description{
			Name:     "interference",
			Summary:  "Checks beside batch tasks of which some kinds, unknown to the scheduler, slow them down; noisy tasks in waves, usage reports late.",
			Scale:    "batch tasks of 6 to 14 s stand for as many minutes, the control of interference keeps its real times; checks of 40 ms; usage reports 1 s late, heartbeats every 0.5 s for 10 s",
			Policies: []Policy{Default, Naive, Partitioned},
			Targets: []string{
				"p99 of checks at most 1.25 times that without batch",
				"batch throughput at least 85% of batch alone",
				"above partitioned on both measures together: throughput ratio times p99 ratio above 1",
				"evictions below 2% of tasks",
			},
		},
		slice: 20 * time.Second, minSlice: 10 * time.Second, variants: variants, judge: judgeInterference,
	}
}

func batchProfile(i int) profile.Profile { return proof(fmt.Sprintf("batch-%d", i), batchNeed) }

func measureInterference(p Policy, checks, batch bool) func(context.Context, *slice) (Readings, error) {
	return func(ctx context.Context, s *slice) (Readings, error) {
		model := interference.New(s.seed)
		l := layout{
			policy: p, seed: s.seed, serviceTime: interferenceService, deadline: interferenceDeadline,
			usageLag: interferenceLag, interference: model, serviceNodes: servicePartition,
			profiles: []profile.Profile{checkProfileOf("shade-lab", interferenceDeadline)},
		}
		for i := range batchProfiles {
			l.profiles = append(l.profiles, batchProfile(i))
		}
		d, err := deploy(ctx, l)
		if err != nil {
			return nil, err
		}
		defer s.end(d)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		warmup := interferenceWarmup
		if !batch {
			warmup = checksWarmup
		}
		if checks && batch {
			warmup += checksAlone
		}
		began := time.Now()
		span := warmup + s.span
		waitChecks := func() {}
		var backlog []task
		stream := &checkStream{
			deployment: d, rate: interferenceLoad * d.capacity(), deadline: interferenceDeadline, seed: s.seed,
			franchisee: anyFranchisee, samples: newSamples(),
		}
		tasks := newJobs(d)
		if batch {
			backlog = noisyTasks(s.seed, model, d, span)
			if checks {
				delay(backlog, checksAlone)
			}
		}
		if checks {
			if waitChecks, err = stream.start(ctx, span); err != nil {
				return nil, err
			}
		}
		waitTasks := tasks.start(ctx, backlog)
		rate, err := meter{d, tasks}.rate(ctx, began.Add(warmup), s.span)
		if err != nil {
			return nil, err
		}
		waitChecks()
		records := d.records()
		cancel()
		waitTasks()
		from := began.Add(warmup)
		readings := checkReadings(stream.samples.between(from, from.Add(s.span)))
		return append(readings, batchReadings(rate, records, d.agentCount(metrics.Throttles))...), nil
	}
}

func anyFranchisee(rng *rand.Rand) string { return fmt.Sprintf("franchisee-%d", rng.IntN(8)+1) }

// noisyTasks returns a backlog that lasts for the span: runs of quiet tasks,
// then waves of those that slow the service down.
func noisyTasks(seed uint64, model *interference.Model, d *deployment, span time.Duration) []task {
	var quiet, noisy []int
	for i := range batchProfiles {
		if model.Weight(d.topology.Service, batchProfile(i).Name) >= 1 {
			noisy = append(noisy, i)
		} else {
			quiet = append(quiet, i)
		}
	}
	rng := rand.New(rand.NewPCG(seed, 17))
	perWorker := int(d.topology.Capacity.MilliCPU / batchNeed.MilliCPU)
	inFleet := perWorker * d.topology.Workers
	// The mean task is 1.7 times as long as the shortest one.
	total := int(float64(inFleet) * (1 + span.Seconds()/minTask.Seconds()))
	list := make([]task, 0, total)
	for i := range total {
		kinds := quiet
		if i%(quietRun+noisyWave) >= quietRun && len(noisy) > 0 || len(quiet) == 0 {
			kinds = noisy
		}
		duration := minTask + time.Duration(rng.Int64N(int64(maxTask-minTask)))
		list = append(list, task{
			profile: batchProfile(kinds[rng.IntN(len(kinds))]), franchisee: "batch",
			work: work{DurationMs: duration.Milliseconds(), Real: batchNeed},
		})
	}
	return list
}

// delay puts off the submission of tasks.
func delay(tasks []task, by time.Duration) {
	for i := range tasks {
		tasks[i].at += by
	}
}

func batchReadings(rate float64, records []worker.Record, throttles int64) Readings {
	ran, stopped := started(records), evicted(records)
	readings := Readings{
		{"batch", " core-s/s", rate},
		{"tasks", "", float64(ran)},
		{"evictions", "", float64(stopped)},
		{"throttles", "", float64(throttles)},
	}
	if ran > 0 {
		readings = append(readings, Reading{"eviction_share", "", float64(stopped) / float64(ran)})
	}
	return readings
}

func judgeInterference(t *table) []Target {
	j := &targets{table: t}
	v := t.of("")
	j.median("check p99 relative to without batch", AtMost, 1.25, "", t.ratios(v, "p99", t.of(withoutBatch), "p99"))
	j.median("batch throughput relative to batch alone", AtLeast, 0.85, "", t.ratios(v, "batch", t.of(withoutChecks), "batch"))
	if t.subject == Default {
		throughput := t.ratios(v, "batch", string(Partitioned), "batch")
		latencies := t.ratios(string(Partitioned), "p99", v, "p99")
		var both []float64
		for i := range min(len(throughput), len(latencies)) {
			both = append(both, throughput[i]*latencies[i])
		}
		j.median("batch throughput times 1/p99 relative to partitioned", Above, 1, "", both)
	}
	j.median("evictions per task", Below, 0.02, "", t.values(v, "eviction_share"))
	return j.list
}
