package entry

import (
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/schedule"
)

// registerMetrics registers the metrics whose values are read at each export.
func (e *Entry) registerMetrics() {
	e.metrics.RegisterProcess(metrics.ProcessSources{Traffic: e.FrameBytes, Queued: e.pool.Queued, LinesDropped: e.deps.LinesDropped})
	e.metrics.RegisterFunc(metrics.DependencyUp, func() []metrics.Sample {
		return []metrics.Sample{
			metrics.Up("leader", e.node.Leader().Address != ""),
			metrics.Up("store", e.storeDownSince.Load() == 0 && e.node.StoreResponds()),
		}
	})
	e.metrics.RegisterFunc(metrics.TasksIdle, e.idleTasks)
	e.metrics.RegisterFunc(metrics.ConfigVersion, func() []metrics.Sample {
		return []metrics.Sample{{Value: float64(e.ConfigVersion())}}
	})
	e.metrics.RegisterFunc(metrics.ConfigAge, func() []metrics.Sample {
		age, ok := e.config.Age()
		if !ok {
			return nil
		}
		return []metrics.Sample{{Value: age.Seconds()}}
	})
	registerLoad := func(id metrics.ID, value func(l schedule.Load) int) {
		e.metrics.RegisterFunc(id, func() []metrics.Sample {
			l, leads := e.node.Load()
			if !leads {
				return nil
			}
			return []metrics.Sample{{Value: float64(value(l))}}
		})
	}
	registerLoad(metrics.Leading, func(schedule.Load) int { return 1 })
	registerLoad(metrics.Jobs, func(l schedule.Load) int { return l.Jobs })
	registerLoad(metrics.Agents, func(l schedule.Load) int { return l.Agents })
	registerLoad(metrics.StepsReady, func(l schedule.Load) int { return l.Ready })
	registerLoad(metrics.Runs, func(l schedule.Load) int { return l.Runs })
	registerLoad(metrics.AgentsUnconfirmed, func(l schedule.Load) int { return l.UnconfirmedAgents })
}

// idleTasks returns the number of idle long-running tasks by state; nil unless this entry leads.
func (e *Entry) idleTasks() (samples []metrics.Sample) {
	l, leads := e.node.Load()
	if !leads {
		return nil
	}
	for state, n := range l.Idle {
		samples = append(samples, metrics.Sample{Label: schedule.IdleState(state).String(), Value: float64(n)})
	}
	return samples
}
