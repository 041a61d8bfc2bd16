package lead

import (
	"context"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/schedule"
)

// errNoAdvisor is the answer to a question that there is nobody to ask.
var errNoAdvisor = errs.New("no policy service is set")

// adviceFactor is how many times the announced time an answer may take.
const adviceFactor = 3

// askAdvice hands the questions of the table to the policy service.
func (l *leading) askAdvice() {
	for _, q := range l.table.Questions() {
		asked := l.node.cfg.Clock.Now()
		if l.node.cfg.Advisor == nil {
			l.table.Advised(asked, q, nil, errNoAdvisor)
			continue
		}
		if err := l.node.advice.Submit(func(ctx context.Context) { l.consult(ctx, q) }); err != nil {
			l.table.Advised(asked, q, nil, err)
		}
	}
}

// consult asks one question and lets the table place what the answer allows.
func (l *leading) consult(ctx context.Context, q schedule.Question) {
	ctx, cancel := context.WithTimeout(ctx, adviceFactor*q.Takes+l.node.cfg.Timing.Call)
	defer cancel()
	asked := l.node.cfg.Clock.Now()
	tickets, err := l.node.cfg.Advisor.Advise(ctx, q.Step, q.Workers)
	l.node.cfg.Metrics.Observe(metrics.AdviceCall, l.node.cfg.Clock.Since(asked))
	l.table.Advised(asked, q, tickets, err)
	l.dispatch()
}
