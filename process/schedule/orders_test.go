package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/routing"
)

// Guards against a cancelled task that runs on because its stop order waits behind start orders
// which the link to the worker's region does not admit (UNASKED on trouble-1 of the large site:
// 10 s).
func TestStopsDoNotWaitForTheLink(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	admits := true
	b.table.cfg.AdmitLink = func(string, int) bool { return admits }
	b.accept(definition("j", checkProfile, 2))
	require.Len(t, b.starts(), 2)
	admits = false
	b.accept(definition("next", checkProfile, 1))
	require.Empty(t, b.starts())
	require.True(t, b.table.Cancel(b.now(), "j"))
	o := b.orders("a")
	require.Len(t, o.Stops, 2)
	require.Empty(t, o.Starts)
	admits = true
	o = b.orders("a")
	require.Len(t, o.Starts, 1)
	require.Len(t, o.Inputs, 1)
	require.Empty(t, o.Stops, "sent twice")
}

// Guards against agents whose start orders wait for long while those of others are sent, on a
// link that carries less than is ordered.
func TestStartsWaitForTheLinkInTurn(t *testing.T) {
	b := newTestbench(t, 1)
	budget := 0
	b.table.cfg.AdmitLink = func(string, int) bool { budget--; return budget >= 0 }
	for _, name := range agentNames(8) {
		b.join(name)
	}
	ordered := map[string]time.Time{}
	for range 40 {
		b.clock.Advance(50 * time.Millisecond)
		for _, name := range agentNames(8) {
			b.report(name, message.Report{})
		}
		def := definition(b.now().String(), checkProfile, 2)
		def.Steps[0].Need.MilliCPU = 100
		b.accept(def)
		budget = 1
		for _, o := range b.table.Dispatch(b.now()) {
			require.NotEmpty(t, o.Orders.Starts)
			ordered[o.Agent] = b.now()
		}
	}
	for _, name := range agentNames(8) {
		require.Less(t, b.clock.Since(ordered[name]), 500*time.Millisecond, "%s is not served in turn", name)
	}
}

// Guards against a budget for orders that shrinks with the number of entries, of which only the
// leader sends orders: with 27 entries in its region, starts waited up to 7 s (LOST, UNASKED and
// late checks on the large site).
func TestOrdersOfManyStartsFitTheLink(t *testing.T) {
	const startsPerSecond, entriesInRegion = 300, 27 // across the link, of 600 in all
	_, orders := routing.LinkShares(routing.LinkBytesPerSecond, entriesInRegion)
	b := newTestbench(t, 1)
	for _, name := range agentNames(20) {
		b.join(name)
	}
	bucket := routing.NewLinkBucket(orders, b.now())
	b.table.cfg.AdmitLink = func(_ string, bytes int) bool { return bucket.Admit(routing.ClassProof, bytes, b.now()).Admit }
	const step = 50 * time.Millisecond
	var longest time.Duration
	waits := map[string]time.Time{}
	for n := range 100 {
		b.clock.Advance(step)
		id := "j-" + b.now().Format(time.RFC3339Nano)
		def := definition(id, checkProfile, startsPerSecond/20)
		def.Input, def.Steps[0].Need.MilliCPU, def.Steps[0].Need.MemoryMB = make([]byte, 1000), 10, 1
		b.accept(def)
		waits[id] = b.now()
		for _, o := range b.table.Dispatch(b.now()) {
			b.report(o.Agent, message.Report{})
			for _, s := range o.Orders.Starts {
				longest = max(longest, b.clock.Since(waits[s.Key.Task.Job]))
			}
		}
		if n%10 == 0 {
			for _, name := range agentNames(20) {
				b.report(name, message.Report{})
			}
		}
	}
	require.LessOrEqual(t, longest, 2*step)
}
