package entry

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/connection/frame"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/fleet"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/budget"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/routing"
)

const (
	// resolveTimeout bounds the queries about a check whose connection was lost.
	resolveTimeout = time.Second
	// resolvePolls is the number of queries in that time while the check is running.
	resolvePolls = 20
	// checkOverheadBytes is the size of a check's frame without its body.
	checkOverheadBytes = frame.HeaderBytes + 150
)

// attempt is one transmission of a check to one target. The fleet table counts
// it as pending until recordResult or abandon, of which exactly one is called.
type attempt struct {
	router     *router
	submission submission
	budget     budget.Budget
	target     routing.Candidate
	kind       routing.AttemptKind
	number     int

	check   message.Check
	sentAt  time.Time
	pending *peer.Pending
}

// run sends the check and waits for the reply.
func (a *attempt) run(ctx context.Context) ([]byte, *outcome.Error) {
	if failure := a.send(ctx); failure != nil {
		return nil, a.recordResult(failure)
	}
	return a.finish(ctx)
}

// send connects to the target and sends the check. It sets check, sentAt and pending.
func (a *attempt) send(ctx context.Context) *outcome.Error {
	if failure := a.awaitLink(ctx); failure != nil {
		return failure
	}
	conn, err := a.router.entry.net.Conn(ctx, a.target.Address)
	if err != nil {
		return outcome.From(err)
	}
	s := a.submission
	a.check = message.Check{
		Request: s.ID, Profile: s.Profile.Name, ProfileVersion: s.Profile.Version, Service: s.Profile.Service,
		Franchisee: s.Franchisee, Team: s.Profile.Team, RemainingMs: a.budget.Remaining().Milliseconds(),
		Attempt: uint8(a.number), Idempotent: s.Idempotent, Weight: s.Profile.Weight, Body: s.Body,
	}
	if a.check.RemainingMs < minAttemptTime.Milliseconds() {
		return outcome.New(outcome.DeadlineRefused, "deadline reached before the check was sent")
	}
	a.router.entry.log.Emit(event.CheckRouted, "request", s.ID, "profile", s.Profile.Name, "franchisee", s.Franchisee,
		"agent", a.target.Agent, "attempt", a.number)
	a.sentAt = a.router.entry.clock.Now()
	a.pending, err = conn.Start(message.KindCheck, a.check)
	return outcome.From(err)
}

// awaitLink waits until the link to the target's region admits the check.
func (a *attempt) awaitLink(ctx context.Context) *outcome.Error {
	region := a.target.Location.Region
	if region == a.router.entry.cfg.Process.Region {
		return nil
	}
	return a.router.entry.awaitLink(ctx, region, routing.ClassCheck, len(a.submission.Body)+checkOverheadBytes)
}

// finish waits for the reply and queries the agent for the outcome if the connection is lost.
func (a *attempt) finish(ctx context.Context) ([]byte, *outcome.Error) {
	var reply message.CheckReply
	failure := outcome.From(a.pending.Await(ctx, &reply))
	if failure != nil && failure.Kind == outcome.ConnectionLost && !failure.NotRun {
		failure = a.resolve(ctx, &reply)
	}
	if failure == nil && reply.Request != a.submission.ID {
		failure = outcome.New(outcome.Internal, "reply belongs to another request")
	}
	if a.recordResult(failure) != nil {
		return nil, failure
	}
	a.router.entry.fleet.RecordLoad(a.target.Agent, reply.Load)
	a.router.entry.log.Emit(event.CheckAnswered, "request", a.submission.ID, "agent", a.target.Agent,
		"elapsed_ms", (a.submission.Deadline - a.budget.Remaining()).Milliseconds())
	return reply.Body, nil
}

// recordResult records the result of the attempt in the fleet table and returns failure.
func (a *attempt) recordResult(failure *outcome.Error) *outcome.Error {
	e, service := a.router.entry, a.submission.Profile.Service
	switch e.fleet.RecordCheck(a.target.Agent, service, !targetFault(failure)) {
	case fleet.Ejected:
		e.log.Emit(event.TargetEjected, "service", service, "agent", a.target.Agent)
	case fleet.Readmitted:
		e.log.Emit(event.TargetReadmitted, "service", service, "agent", a.target.Agent)
	case fleet.Unchanged:
	}
	return failure
}

// abandon ends an attempt whose reply is no longer needed.
func (a *attempt) abandon() {
	a.pending.Abandon()
	a.router.entry.fleet.Abandon(a.target.Agent, a.submission.Profile.Service)
	a.router.attempts.CountWasted()
}

// targetFault reports whether a failure counts against the target or the network path to it.
func targetFault(failure *outcome.Error) bool {
	if failure == nil {
		return false
	}
	switch failure.Kind {
	case outcome.ConnectionLost, outcome.TargetFailed, outcome.DeadlineExceeded, outcome.Internal:
		return true
	}
	return false
}

// resolve queries the agent for the outcome of the check over a new connection.
// An agent that has not received the check guarantees never to run it.
func (a *attempt) resolve(ctx context.Context, reply *message.CheckReply) *outcome.Error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	query := message.Query{Request: a.check.Request, Attempt: a.check.Attempt}
	for {
		query.SentAgoMs = a.router.entry.clock.Since(a.sentAt).Milliseconds()
		var result message.QueryReply
		err := a.router.entry.net.Call(ctx, a.target.Address, message.KindQuery, query, &result)
		switch {
		case err != nil:
			return outcome.New(outcome.ConnectionLost, "the connection was lost, and the query for the outcome of the check failed")
		case result.State == message.QueryNotRun:
			return outcome.New(outcome.ConnectionLost, "the check did not reach the agent").AsNotRun()
		case result.State == message.QueryUnknown:
			return outcome.New(outcome.ConnectionLost, "the connection was lost, and the agent has restarted since the check was sent")
		case result.State == message.QueryDone && result.Reply != nil:
			*reply = *result.Reply
			return nil
		case result.State == message.QueryDone:
			return result.Error
		}
		select {
		case <-ctx.Done():
			return outcome.New(outcome.DeadlineExceeded, "the connection was lost, and the check is still queued or running at the target")
		case <-a.router.entry.clock.After(resolveTimeout / resolvePolls):
		}
	}
}

// hedge sends a second attempt if the first has no reply after the delay, and
// uses the first successful reply. Both attempts carry the same request ID.
func (r *router) hedge(ctx context.Context, first *attempt, after time.Duration) ([]byte, *outcome.Error) {
	if failure := first.send(ctx); failure != nil {
		return nil, first.recordResult(failure)
	}
	delayCtx, cancel := context.WithTimeout(ctx, after)
	replied := first.pending.WaitReply(delayCtx)
	cancel()
	if replied || ctx.Err() != nil || !r.entry.fleet.TakeHedge(first.submission.Profile.Name) {
		return first.finish(ctx)
	}
	second, failure := r.choose(first.submission, first.budget, []string{first.target.Agent}, routing.Hedge, first.number+1)
	if failure != nil {
		return first.finish(ctx)
	}
	r.entry.log.Emit(event.CheckHedged, "request", first.submission.ID, "agent", second.target.Agent, "wait_ms", after.Milliseconds())
	if failure := second.send(ctx); failure != nil {
		_ = second.recordResult(failure)
		return first.finish(ctx)
	}
	if peer.FirstReply(ctx, first.pending, second.pending) {
		return firstSuccess(ctx, first, second)
	}
	return firstSuccess(ctx, second, first)
}

// firstSuccess returns the reply of the attempt that ended first. If that failed,
// the other one may still run, so it waits for that; if both fail, see routing.Worst.
func firstSuccess(ctx context.Context, first, other *attempt) ([]byte, *outcome.Error) {
	body, failure := first.finish(ctx)
	if failure == nil {
		other.abandon()
		return body, nil
	}
	body, otherFailure := other.finish(ctx)
	if otherFailure == nil {
		return body, nil
	}
	return nil, routing.Worst(failure, otherFailure)
}

// awaitLink waits until this entry's share of the link to a region admits the bytes.
func (e *Entry) awaitLink(ctx context.Context, region string, class routing.Class, bytes int) *outcome.Error {
	for {
		d := e.links.Admit(region, class, bytes)
		if d.Admit {
			e.metrics.Add(metrics.LinkBytes, int64(bytes))
			return nil
		}
		select {
		case <-ctx.Done():
			return outcome.New(outcome.DeadlineRefused, "deadline reached while waiting for bandwidth on the link between regions")
		case <-e.clock.After(d.Wait):
		}
	}
}
