package fleet

import (
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/routing"
)

// Links holds this entry's budgets of the links to other regions: one for requests and one for
// the orders that it sends while it leads. It has its own lock, because the leader calls
// AdmitOrders under the schedule's lock; a Fleet's has a lower rank.
type Links struct {
	clock clockwork.Clock

	mu       lockrank.Mutex // guards the buckets, by region
	requests map[string]*routing.LinkBucket
	orders   map[string]*routing.LinkBucket
}

// NewLinks returns a table without limits.
func NewLinks(clock clockwork.Clock) *Links {
	return &Links{
		clock: clock, mu: lockrank.NewMutex(lockrank.RankLinks),
		requests: map[string]*routing.LinkBucket{}, orders: map[string]*routing.LinkBucket{},
	}
}

// SetRates sets the budgets of the link to another region, in bytes per second.
func (l *Links) SetRates(region string, requests, orders int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setRate(l.requests, region, requests)
	l.setRate(l.orders, region, orders)
}

func (l *Links) setRate(buckets map[string]*routing.LinkBucket, region string, bytesPerSecond int64) {
	if b := buckets[region]; b != nil {
		b.SetRate(bytesPerSecond, l.clock.Now())
		return
	}
	buckets[region] = routing.NewLinkBucket(bytesPerSecond, l.clock.Now())
}

// Admit takes the bytes of one message of a request from the budget of the link to another
// region. Without a rate for the region it admits every message.
func (l *Links) Admit(region string, class routing.Class, bytes int) routing.LinkDecision {
	return l.admit(l.requests, region, class, bytes)
}

// AdmitOrders is Admit for orders to the agents of another region.
func (l *Links) AdmitOrders(region string, bytes int) bool {
	return l.admit(l.orders, region, routing.ClassProof, bytes).Admit
}

func (l *Links) admit(buckets map[string]*routing.LinkBucket, region string, class routing.Class, bytes int) routing.LinkDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := buckets[region]; b != nil {
		return b.Admit(class, bytes, l.clock.Now())
	}
	return routing.LinkDecision{Admit: true}
}

// Wait returns the longest wait of a check for any link, for routing.Request.
func (l *Links) Wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest time.Duration
	for _, b := range l.requests {
		longest = max(longest, b.Wait(routing.ClassCheck, l.clock.Now()))
	}
	return longest
}
