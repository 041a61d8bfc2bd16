package routing

import "time"

// LinkShares divides a link of the given rate in bytes per second among its senders. Half of it
// is for requests, in equal parts for the entries of the region; the other half is for the orders
// of the leader, of which there is one at a time however many entries there are.
func LinkShares(bytesPerSecond int64, entriesInRegion int) (requests, orders int64) {
	orders = bytesPerSecond / 2
	return (bytesPerSecond - orders) / int64(max(entriesInRegion, 1)), orders
}

// LinkBytesPerSecond is the capacity of the link between regions in each direction:
// 30 Mbit/s.
const LinkBytesPerSecond = 30_000_000 / 8

// ProofChunkBytes is the largest chunk of proof data that is sent at once. At full rate
// it occupies the link for 17 ms, by which it delays a check behind it.
const ProofChunkBytes = 64 << 10

// Class is the priority of data on the link.
type Class uint8

// The classes.
const (
	ClassCheck Class = iota
	ClassProof
)

// LinkDecision admits a message now, or gives the time after which to try again.
type LinkDecision struct {
	Admit bool
	Wait  time.Duration // 0 if admitted
}

// LinkBucket is a token bucket in bytes for one direction of the link. A message is
// admitted as a whole and may make the number of tokens negative, so that a message
// larger than the burst still passes. A check is admitted down to minus one burst,
// proof data only while at least half a burst is left. A LinkBucket is not safe for
// concurrent use: the lock of its owner guards it.
type LinkBucket struct {
	perSecond int64
	burst     int64
	tokens    int64
	// refilledAt is the time up to which tokens are credited.
	refilledAt time.Time
}

// burstsPerSecond sets the burst to what the rate carries in 25 ms. A burst and the
// debt of checks can pass at once: with bursts of 100 ms, the traffic within windows of
// 100 ms reached three times the rate.
const burstsPerSecond = 40

// NewLinkBucket returns a full bucket. bytesPerSecond is a share of the link, see LinkShares.
func NewLinkBucket(bytesPerSecond int64, now time.Time) *LinkBucket {
	b := &LinkBucket{refilledAt: now}
	b.SetRate(bytesPerSecond, now)
	b.tokens = b.burst
	return b
}

// SetRate changes the rate, for example after the number of entries has changed.
func (b *LinkBucket) SetRate(bytesPerSecond int64, now time.Time) {
	if b.perSecond > 0 {
		b.refill(now)
	}
	b.perSecond = max(1, bytesPerSecond)
	b.burst = max(1, b.perSecond/burstsPerSecond)
	b.tokens = min(b.tokens, b.burst)
}

// Admit takes the bytes of one message from the bucket if its class may send now.
func (b *LinkBucket) Admit(class Class, bytes int, now time.Time) LinkDecision {
	if wait := b.Wait(class, now); wait > 0 {
		return LinkDecision{Wait: wait}
	}
	b.tokens -= int64(bytes)
	return LinkDecision{Admit: true}
}

// Wait returns the time until a message of the class is admitted. Routing adds it to the
// cost of targets in other regions.
func (b *LinkBucket) Wait(class Class, now time.Time) time.Duration {
	b.refill(now)
	missing := b.minTokens(class) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(float64(missing)/float64(b.perSecond)*float64(time.Second)) + 1
}

func (b *LinkBucket) minTokens(class Class) int64 {
	if class == ClassCheck {
		return -b.burst
	}
	return b.burst / 2
}

func (b *LinkBucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	// Only whole bytes are credited; the time of a partial byte counts in the next call.
	earned := int64(elapsed.Seconds() * float64(b.perSecond))
	b.tokens += earned
	b.refilledAt = b.refilledAt.Add(time.Duration(float64(earned) / float64(b.perSecond) * float64(time.Second)))
	if b.tokens >= b.burst {
		b.tokens, b.refilledAt = b.burst, now
	}
}
