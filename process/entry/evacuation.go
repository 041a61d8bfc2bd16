package entry

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/connection/api"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/outcome"
)

// evacuationPoll is the time between two looks at whether an evacuation is in force.
const evacuationPoll = 50 * time.Millisecond

func (w *web) listEvacuations(x *exchange) {
	ctx, cancel := context.WithTimeout(w.entry.runCtx, operationTimeout)
	defer cancel()
	domains, err := w.entry.evacuations.List(ctx)
	if err != nil {
		w.writeError(x, "", outcome.New(outcome.StoreUnavailable, err.Error()))
		return
	}
	list := make([]api.Evacuation, 0, len(domains))
	for _, d := range domains {
		list = append(list, api.Evacuation{FailureDomain: d, InForce: w.entry.node.Evacuated(d)})
	}
	w.writeJSON(x, fasthttp.StatusOK, list)
}

// beginEvacuation records an evacuation and responds once the leader orders nothing more there: 202
// if that is not known within operationTimeout, 200 otherwise.
func (w *web) beginEvacuation(x *exchange) {
	w.changeEvacuation(x, true, w.entry.evacuations.Begin)
}

func (w *web) endEvacuation(x *exchange) {
	w.changeEvacuation(x, false, w.entry.evacuations.End)
}

func (w *web) changeEvacuation(x *exchange, begin bool, change func(ctx context.Context, domain string) error) {
	domain := nameParam(x)
	err := w.authorizeChange(x, "")
	switch {
	case err != nil:
	case domain == "" || len(domain) > maxNameBytes:
		err = outcome.Field(outcome.InvalidField, "failure_domain", "must have 1 to 128 bytes")
	case w.entry.document != nil:
		err = outcome.Field(outcome.InvalidField, "failure_domain", "operators of this deployment write evacuations to the store")
	}
	if err != nil {
		w.writeError(x, "", err)
		return
	}
	ctx, cancel := context.WithTimeout(w.entry.runCtx, operationTimeout)
	defer cancel()
	if err := change(ctx, domain); err != nil {
		failure := outcome.New(outcome.StoreUncertain, "the change may have been recorded: "+err.Error())
		if errors.Is(err, platform.ErrUnavailable) {
			failure = outcome.New(outcome.StoreUnavailable, "nothing was recorded: "+err.Error())
		}
		w.writeError(x, "", failure)
		return
	}
	result := api.Evacuation{FailureDomain: domain, InForce: w.entry.node.Evacuated(domain)}
	for result.InForce != begin && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-w.entry.clock.After(evacuationPoll):
			result.InForce = w.entry.node.Evacuated(domain)
		}
	}
	status := fasthttp.StatusOK
	if result.InForce != begin {
		status = fasthttp.StatusAccepted
	}
	w.writeJSON(x, status, result)
}
