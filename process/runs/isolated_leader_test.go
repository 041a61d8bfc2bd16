package runs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
)

// fakeEntry names a leader.
type fakeEntry struct{ leader message.Leader }

func (e fakeEntry) Queue(peer.Request) bool { return false }

func (e fakeEntry) Handle(_ context.Context, r peer.Request) {
	if r.Kind == message.KindFindLeader {
		r.Reply(e.leader)
	}
}

// Guards against an agent that stays with a leader which is cut off from the store and most processes, and
// whose runs its successor can neither stop nor take over meanwhile, although the agent reaches entries that
// know the next leader (review, case 7).
func TestAgentLeavesAnIsolatedLeader(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		r := newRig(t)
		next := message.Leader{Term: 2, Address: "127.0.0.1:9"}
		entry := r.network(fakeEntry{next}).Address()
		l := &r.node.leader
		r.eventually("the send loop ends", func() bool { return !l.sending.Load() })
		r.node.mu.Lock()
		r.node.worker.ID = "" // sends no report to the next leader
		r.node.mu.Unlock()
		r.node.cfg.Net = r.network(fakeEntry{})
		l.mu.Lock()
		l.term, l.address, l.entries = 1, "127.0.0.1:8", []string{entry}
		session := l.session
		l.mu.Unlock()
		l.applyReply(r.clock.Now(), "127.0.0.1:8", &message.Report{Session: session}, &message.ReportReply{Term: 1, LeaseMs: 1000, Isolated: isolated})
		follows := func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.address == next.Address && l.term == next.Term && l.session > session
		}
		if isolated {
			require.Eventually(t, follows, 10*time.Second, time.Millisecond)
			continue
		}
		require.Never(t, follows, 50*time.Millisecond, 10*time.Millisecond)
	}
}
