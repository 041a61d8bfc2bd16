package lead

import (
	"context"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/schedule"
)

var errNoAdvisor = errs.New("no policy service is configured")

const adviceTimeoutFactor = 3 // in expected durations of a request; Timing.CallTimeout is added

// requestAdvice queues the table's advice requests. One that cannot be queued fails at once.
func (l *leaderTerm) requestAdvice() {
	for _, q := range l.table.TakeAdviceRequests() {
		requested := l.node.cfg.Clock.Now()
		if l.node.cfg.Advisor == nil {
			l.table.ApplyAdvice(requested, q, nil, errNoAdvisor)
			continue
		}
		if err := l.node.advice.Submit(func(ctx context.Context) { l.callAdvisor(ctx, q) }); err != nil {
			l.table.ApplyAdvice(requested, q, nil, err)
		}
	}
}

func (l *leaderTerm) callAdvisor(ctx context.Context, q schedule.AdviceRequest) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeoutFactor*q.ExpectedDuration+l.node.cfg.Timing.CallTimeout)
	defer cancel()
	requested := l.node.cfg.Clock.Now()
	tickets, err := l.node.cfg.Advisor.Advise(ctx, q.Step, q.Workers)
	l.node.cfg.Metrics.Observe(metrics.AdviceCall, l.node.cfg.Clock.Since(requested))
	l.table.ApplyAdvice(requested, q, tickets, err)
	l.dispatch()
}
