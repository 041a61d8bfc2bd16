package entry

import (
	"sync"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/connection/api"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/timeline"
)

const (
	defaultTimelineLimit = 2000
	// timelineConcurrency bounds the concurrent calls to other processes for one timeline.
	timelineConcurrency = 16
)

func (w *web) timeline(x *exchange) {
	q := x.QueryArgs()
	f := timeline.Filter{
		Request: string(q.Peek("request")), Job: string(q.Peek("job")), Agent: string(q.Peek("agent")),
		Franchisee: string(q.Peek("franchisee")), Name: string(q.Peek("name")),
		SinceMs: int64(q.GetUintOrZero("since_ms")), UntilMs: int64(q.GetUintOrZero("until_ms")),
		Limit: defaultTimelineLimit,
	}
	if limit := q.GetUintOrZero("limit"); limit > 0 {
		f.Limit = min(limit, timeline.DefaultLength)
	}
	w.writeJSON(x, fasthttp.StatusOK, w.entry.mergedTimeline(f))
}

// mergedTimeline merges the events of all known processes that respond within the call timeout.
func (e *Entry) mergedTimeline(f timeline.Filter) api.Timeline {
	ctx, cancel := e.callContext(e.runCtx)
	defer cancel()
	var mu sync.Mutex // guards body and lists; no calls are made under it
	body := api.Timeline{}
	lists := [][]timeline.Record{e.ring.Select(f)}
	slots := make(chan struct{}, timelineConcurrency)
	var wg sync.WaitGroup
	for id, address := range e.otherProcesses() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var reply message.TimelineReply
			err := e.net.Call(ctx, address, message.KindTimeline, f, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				body.Missing = append(body.Missing, id)
				return
			}
			lists = append(lists, reply.Records)
		})
	}
	wg.Wait()
	body.Records = timeline.Merge(f.Limit, lists...)
	return body
}

// otherProcesses returns the addresses of the other known entries and the agents, by ID.
func (e *Entry) otherProcesses() map[string]string {
	known := map[string]string{}
	for _, info := range e.otherEntries() {
		known[info.ID] = info.Address
	}
	for _, s := range e.fleet.Agents() {
		known[s.Agent] = s.Address
	}
	return known
}

// serveTimeline serves another entry's request for the events of this process.
func (e *Entry) serveTimeline(r peer.Request) {
	var f timeline.Filter
	if err := r.Decode(&f); err != nil {
		r.Fail(err)
		return
	}
	r.Reply(message.TimelineReply{Records: e.ring.Select(f)})
}

// Timeline returns the events of this process that match the filter.
func (e *Entry) Timeline(f timeline.Filter) []timeline.Record { return e.ring.Select(f) }
