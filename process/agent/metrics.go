package agent

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/metrics"
)

// registerMetrics registers the metrics whose values are computed when they are read.
func (a *Agent) registerMetrics() {
	a.metrics.RegisterProcess(metrics.ProcessSources{Traffic: a.FrameBytes, Queued: a.pool.Queued, LinesDropped: a.deps.LinesDropped})
	a.metrics.RegisterFunc(metrics.DependencyUp, func() []metrics.Sample {
		return []metrics.Sample{metrics.Up("leader", a.node.Attached()), metrics.Up("worker", a.node.WorkerReachable())}
	})
	load := func(id metrics.ID, of func(l message.ServiceLoad) float64) {
		a.metrics.RegisterFunc(id, func() []metrics.Sample {
			var samples []metrics.Sample
			for _, l := range a.checks.loads() {
				samples = append(samples, metrics.Sample{Label: l.Service, Value: of(l)})
			}
			return samples
		})
	}
	load(metrics.Slots, func(l message.ServiceLoad) float64 { return float64(l.Slots) })
	load(metrics.SlotsBusy, func(l message.ServiceLoad) float64 { return float64(l.Busy) })
	load(metrics.ChecksQueued, func(l message.ServiceLoad) float64 { return float64(l.Queued) })
	load(metrics.ServiceTime, func(l message.ServiceLoad) float64 {
		return (time.Duration(l.ServiceTimeUs) * time.Microsecond).Seconds()
	})
}
