package lead

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

const testCancelBound = 3 * time.Second

// minOrderedTime is less than what an order must leave of testCancelBound.
const minOrderedTime = 300 * time.Millisecond

// switchedStore is a store that accepts no transaction and lists no change while off is set, which may
// change while the leader calls it.
type switchedStore struct {
	*memoryStore
	off atomic.Bool
}

func (s *switchedStore) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if s.off.Load() {
		return 0, platform.ErrUnavailable
	}
	return s.memoryStore.Commit(ctx, txn)
}

func (s *switchedStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	if s.off.Load() {
		return nil, 0, platform.ErrUnavailable
	}
	return s.memoryStore.Changes(ctx, prefix, after, wait)
}

// cancelRig is a leader that bounds starts after a cancellation, with one follower and one agent.
type cancelRig struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	store    *memoryStore
	cut      *switchedStore // the store as the leader reaches it
	l        *leaderTerm
	follower *Node
	agent    *agentLink
	sequence uint64
	jobs     int
}

func newCancelRig(t *testing.T) *cancelRig {
	t.Helper()
	r := &cancelRig{t: t, clock: clockwork.NewFakeClockAt(time.Now()), store: newMemoryStore(t)}
	r.cut = &switchedStore{memoryStore: r.store}
	n := newProcess(t, "one", r.cut, r.clock)
	n.cfg.Timing.CancelBound = testCancelBound
	n.cfg.Profile = func(string) (profile.Profile, bool) { return profile.Profile{Service: "s", MaxAttempts: 3}, true }
	n.cfg.Teams = func() map[string]profile.Team { return nil }
	r.l = claimTerm(t, listen(t, n))
	r.l.table.SetRegistered(schedule.AgentLeases{Agents: []schedule.AgentLease{{Agent: testAgent}}})
	r.follower = listen(t, newProcess(t, "two", r.store, r.clock))
	follow(t, r.follower, r.l)
	r.agent = connectAgent(t, r.l.node)
	r.report()
	for range 8 {
		r.advance(500*time.Millisecond, true)
	}
	return r
}

func (r *cancelRig) report() {
	r.t.Helper()
	r.sequence++
	require.NotZero(r.t, r.agent.report(r.t, 1, r.sequence, r.sequence == 1).LeaseMs)
}

// advance lets time pass, after which the leader reads the inbox, the agent reports and the follower, if
// it reaches the leader, returns the stamp of an update.
func (r *cancelRig) advance(d time.Duration, follows bool) {
	r.t.Helper()
	r.clock.Advance(d)
	sent := r.clock.Now()
	if follows {
		r.l.sendUpdates(true)
		require.Eventually(r.t, func() bool {
			r.clock.Advance(time.Millisecond) // the follower may have to connect again
			r.follower.followLeader(r.clock.Now())
			r.l.mu.Lock()
			defer r.l.mu.Unlock()
			self := r.follower.cfg.Self()
			return !r.l.mu.acknowledgers[processOf(&self)].followedAt.Before(sent)
		}, 10*time.Second, 100*time.Microsecond)
	}
	_ = r.l.pollInbox(r.t.Context())
	r.report()
	r.l.updateCancellationsKnown(r.clock.Now())
}

// ordersStart accepts a job and reports whether its start is ordered.
func (r *cancelRig) ordersStart() (o message.Orders, ordered bool) {
	r.t.Helper()
	r.jobs++
	def := testJob(fmt.Sprint("j", r.jobs))
	def.Steps[0].Need = resources.Resources{MilliCPU: 10, MemoryMB: 10} // the worker has room for all jobs of a test
	require.True(r.t, r.l.table.Accept(r.clock.Now(), def, r.l.number, false))
	r.l.dispatch()
	wait := 10 * time.Second
	if !r.l.table.MayOrderStarts(r.clock.Now()) {
		wait = 20 * time.Millisecond
	}
	for deadline := time.After(wait); ; {
		select {
		case o = <-r.agent.orders:
			if len(o.Starts) > 0 {
				return o, true
			}
		case <-deadline:
			return o, false
		}
	}
}

// Guards against starts of cancelled jobs by a leader that reaches neither the store nor the entries that
// acknowledge cancellations, until its term would end (review, case 7), and against a leader that orders
// nothing while the store is down for everybody.
func TestIsolatedLeaderOrdersNoStarts(t *testing.T) {
	r := newCancelRig(t)
	o, ordered := r.ordersStart()
	require.True(t, ordered)
	require.Equal(t, r.sequence, o.Sequence)
	require.Greater(t, o.StartWithinMs, testCancelBound.Milliseconds()*9/10)
	require.Less(t, o.StartWithinMs, testCancelBound.Milliseconds())

	r.cut.off.Store(true)
	for range 3 {
		r.advance(500*time.Millisecond, true)
		_, ordered = r.ordersStart()
		require.True(t, ordered, "the followers would have told of a cancellation")
	}
	lastFollowed := r.clock.Now()
	for r.clock.Since(lastFollowed) < testTiming.Outage {
		r.advance(100*time.Millisecond, false)
		if o, ordered = r.ordersStart(); !ordered {
			break
		}
		end := r.clock.Now().Add(time.Duration(o.StartWithinMs) * time.Millisecond)
		require.False(t, end.After(lastFollowed.Add(testCancelBound)), "a start may begin too late after a cancellation")
	}
	require.False(t, ordered, "the follower may have acknowledged a cancellation")
	require.True(t, r.l.isolated.Load(), "the agents have to look for another leader")
	require.Greater(t, r.clock.Since(lastFollowed), testCancelBound/2, "starts end too early")

	r.advance(100*time.Millisecond, true)
	_, ordered = r.ordersStart()
	require.True(t, ordered, "the follower is back")
	r.advance(testCancelBound-minOrderedTime, false)
	_, ordered = r.ordersStart()
	require.False(t, ordered)
	r.cut.off.Store(false)
	r.advance(time.Millisecond, false)
	_, ordered = r.ordersStart()
	require.True(t, ordered, "the inbox has been read")
}

// Guards against a leader that holds back stops along with the starts.
func TestIsolatedLeaderOrdersStops(t *testing.T) {
	r := newCancelRig(t)
	_, ordered := r.ordersStart()
	require.True(t, ordered)
	r.cut.off.Store(true)
	r.advance(testCancelBound, false)
	r.l.cancel("j1", 1<<40, "caller")
	r.l.dispatch()
	require.Eventually(t, func() bool {
		select {
		case o := <-r.agent.orders:
			return len(o.Stops) == 1
		default:
			return false
		}
	}, 10*time.Second, time.Millisecond)
}

// Guards against a start that is held back and ordered although its job was cancelled meanwhile.
func TestHeldStartOfACancelledJobIsNotOrdered(t *testing.T) {
	r := newCancelRig(t)
	r.cut.off.Store(true)
	r.advance(testCancelBound, false)
	_, ordered := r.ordersStart()
	require.False(t, ordered)
	r.l.cancel("j1", 1<<40, "store")
	r.cut.off.Store(false)
	r.advance(time.Millisecond, false)
	o, ordered := r.ordersStart()
	require.True(t, ordered)
	require.Len(t, o.Starts, 1)
	require.Equal(t, "j2", o.Starts[0].Key.Task.Job)
}

// Guards against a leader that waits for good for an entry that is gone, or does not wait for one that may
// still acknowledge cancellations, or for the notices of a process that has ended.
func TestLeaderWaitsForThoseThatAcknowledge(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := claimTerm(t, newProcess(t, "one", newMemoryStore(t), clock))
	limit := testTiming.uninformedLimit()
	clock.Advance(time.Second)
	require.Equal(t, clock.Now(), l.cancellationsKnownAt(clock.Now()), "no other entry acknowledges cancellations")
	l.recordInboxRead(clock.Now())
	clock.Advance(time.Second)

	l.recordAcknowledger(&message.EntryInfo{ID: "two", StartedMs: 1})
	require.Equal(t, clock.Now().Add(-time.Second), l.cancellationsKnownAt(clock.Now()), "it has followed no update yet")
	clock.Advance(limit)
	l.recordInboxRead(clock.Now())
	clock.Advance(time.Second)
	require.Equal(t, clock.Now().Add(-time.Second), l.cancellationsKnownAt(clock.Now()), "it may still acknowledge some")
	clock.Advance(limit / 10)
	l.recordInboxRead(clock.Now())
	clock.Advance(time.Second)
	require.Equal(t, clock.Now(), l.cancellationsKnownAt(clock.Now()), "it acknowledges nothing without the leader")

	l.recordAcknowledger(&message.EntryInfo{ID: "two", StartedMs: 1})
	began := clock.Now()
	clock.Advance(time.Millisecond)
	l.recordAcknowledger(&message.EntryInfo{ID: "two", StartedMs: 2})
	l.recordInboxRead(began)
	require.Len(t, l.mu.acknowledgers, 2, "the read may have missed what the first process acknowledged")
	l.recordInboxRead(clock.Now())
	require.Len(t, l.mu.acknowledgers, 1)
}

// cancelInBackground cancels a job at an entry; done receives the error.
func cancelInBackground(t *testing.T, n *Node, id string) (done chan error) {
	t.Helper()
	done = make(chan error, 1)
	go func() {
		_, err := n.Cancel(t.Context(), id)
		done <- err
	}()
	return done
}

// requireWaits waits until a goroutine waits for the clock.
func requireWaits(t *testing.T, clock *clockwork.FakeClock) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, clock.BlockUntilContext(ctx, 1), "the cancellation is acknowledged at once")
}

// Guards against starts of cancelled jobs by a leader that the store does not serve, whose followers all
// follow: an entry that does not follow it, such as an added one, acknowledges the cancellation, of which
// the leader cannot learn.
func TestEntryWithoutLeaderDoesNotAcknowledge(t *testing.T) {
	r := newCancelRig(t)
	_, _, err := r.follower.jobs.Create(t.Context(), testJob("j"), 1)
	require.NoError(t, err)
	added := listen(t, newProcess(t, "three", r.store, r.clock))
	added.executeStep(t.Context(), term.ReadStore)
	done := cancelInBackground(t, added, "j")
	requireWaits(t, r.clock)
	require.Empty(t, done)
	require.NotNil(t, r.store.items["in/cancel/j"].Value, "the cancellation takes effect all the same")
	follow(t, added, r.l)
	require.Eventually(t, func() bool {
		r.clock.Advance(maxInformedPause)
		return len(done) == 1
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, <-done)

	r.clock.Advance(testTiming.uninformedLimit())
	err = <-cancelInBackground(t, added, "j")
	require.Equal(t, outcome.NoLeader, kindOfError(err), "the leader has been silent for too long")
	require.Equal(t, outcome.RanMaybe, outcome.From(err).Ran())
}

// Guards against a cancellation that is acknowledged by an entry or a leader which does not know that another
// term has begun, and of which the leader of that one does not learn in time.
func TestCancellationIsRecordedUnderTheNewestTerm(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
	old := newSchedulingLeaderAt(t, store, clock)
	storeJob(t, old.node, "j")
	newer := claimTerm(t, newProcess(t, "two", store, clock))
	_, err := old.node.jobs.Cancel(t.Context(), "j", old.writer.Fence(), clock.Now(), nil)
	require.ErrorIs(t, err, jobstore.ErrFenced)
	require.NotContains(t, store.items, "in/cancel/j")
	c, err := old.node.recordCancellation(t.Context(), "j")
	require.NoError(t, err)
	require.NotZero(t, c.Revision)
	informed, _ := old.node.leaderInformed(clock.Now())
	require.False(t, informed, "it does not follow the newer leader yet")
	require.Nil(t, old.node.ownTerm.Load())
	require.Equal(t, newer.number, old.node.elector.Term())
}

// Guards against cancellations that are acknowledged while the leader of an earlier term still orders
// starts on the word of its followers: this one has begun its term without having followed it.
func TestLeaderAwaitsTheEndOfAnUnknownOne(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t, "a")
	n := newProcess(t, "two", store, clock)
	n.cfg.Timing.Outage = time.Minute
	claimTerm(t, newProcess(t, "one", store, clock))
	l := claimTerm(t, n)
	require.True(t, l.newUpdate().EarlierLeader, "the followers do not acknowledge any either")
	informed, expected := n.leaderInformed(clock.Now())
	require.False(t, informed)
	require.True(t, expected)

	join(t, l, "a")
	informed, _ = n.leaderInformed(clock.Now())
	require.True(t, informed, "the earlier leader has no agents left")
	require.False(t, l.newUpdate().EarlierLeader)

	l = claimTerm(t, newProcess(t, "three", store, clock))
	require.False(t, l.earlierLeaderMayAct(clock.Now()), "it grants leases for as long as it may act alone")
}

// Guards against a stamp that tells the leader of a notice which has not been sent: it was dropped because
// too many were kept, or belongs to a connection that was replaced.
func TestStampFollowsTheNotices(t *testing.T) {
	r := newCancelRig(t)
	r.follower.notifyLeader(cancelledKey("j1"), message.KindCancelled, &message.JobRef{Job: "j1"})
	r.follower.mu.Lock()
	for i := range maxNotices {
		r.follower.notices[fmt.Sprint(i)] = &notice{kind: message.KindCancelled, body: &message.JobRef{Job: "unknown"}, createdAt: r.clock.Now(), sentAt: r.clock.Now()}
	}
	r.follower.mu.Unlock()
	r.follower.notifyLeader(cancelledKey("j2"), message.KindCancelled, &message.JobRef{Job: "j2"})
	r.cut.off.Store(true)
	before := r.l.cancellationsKnownAt(r.clock.Now())
	r.clock.Advance(100 * time.Millisecond)
	r.l.sendUpdates(true)
	require.Eventually(t, func() bool {
		r.follower.mu.Lock()
		defer r.follower.mu.Unlock()
		return r.follower.leader.stamp == r.l.stamp()
	}, 10*time.Second, time.Millisecond)
	r.follower.followLeader(r.clock.Now())
	require.Never(t, func() bool { return r.l.cancellationsKnownAt(r.clock.Now()).After(before) }, 200*time.Millisecond, 10*time.Millisecond)
}

// Guards against a cancellation that arrives while the jobs of earlier terms are loaded and is lost, although
// the follower's next stamp tells the leader that it has all.
func TestNoticeWhileLoadingIsKept(t *testing.T) {
	l := newSchedulingLeader(t)
	l.acceptJob(t, "j")
	l.loaded.Store(false)
	l.node.handleCancelled(peer.Request{}, &message.JobRef{Job: "j"})
	state, _ := l.table.State("j")
	require.Equal(t, job.Accepted, state)
	l.loaded.Store(true)
	l.node.applyOwnNotices(l)
	l.transact(t.Context()) // a final state is reported once it is durable
	state, _ = l.table.State("j")
	require.Equal(t, job.Cancelled, state)
}
