package term

import "time"

// Timing bounds the change of leaders.
type Timing struct {
	// SilentAfter is the time without a sign of life after which a leader is
	// taken for lost.
	SilentAfter time.Duration
	// PollEvery is the pause between two readings of the store while the leader
	// is in doubt.
	PollEvery time.Duration
	// Preference is how long this entry lets others go first.
	Preference time.Duration
}

// returnSlack is how long the store must serve this entry before a leader that
// it did not serve is replaced: after an outage for all, the leader itself
// needs about as long to find that the store is back.
const returnSlack = 400 * time.Millisecond

// Step is what a watching entry does next.
type Step uint8

// The steps.
const (
	Nothing Step = iota
	// ReadStore asks for the present view.
	ReadStore
	// ClaimTerm asks to begin the next term.
	ClaimTerm
)

// Watch is what one entry knows of the leader. It is a plain value: its owner's
// lock guards it, and its decisions depend only on what it was told and when.
type Watch struct {
	timing Timing
	view   View
	read   bool
	readAt time.Time
	// heardAt is the last direct sign of life of the leader in view.
	heardAt time.Time
	// beat is the highest beat known, beatAt when it became known.
	beat   uint64
	beatAt time.Time
	// goneAt is when the leader's process was found to have ended; zero: it was not.
	goneAt time.Time
	// troubleAt is when the leader said that the store does not serve it.
	troubleAt time.Time
	// troubleEnded is when a leader was last heard to be served again.
	troubleEnded time.Time
	// servedAt is since when all readings of the store have succeeded.
	servedAt time.Time
	// emptyAt is when the store was first seen without any term.
	emptyAt time.Time
	// appointed is the term after which this entry is to lead without letting
	// others go first.
	appointed uint64
	// yieldUntil is until when this entry leaves the next term to others.
	yieldUntil time.Time
}

// NewWatch returns a watch that knows nothing.
func NewWatch(t Timing) Watch { return Watch{timing: t} }

// Prefer sets how long this entry lets others go first.
func (w *Watch) Prefer(d time.Duration) { w.timing.Preference = d }

// Preference returns how long this entry lets others go first.
func (w *Watch) Preference() time.Duration { return w.timing.Preference }

// Appoint takes in that the leader of a term, who gives it up, wants this entry
// to begin the next one.
func (w *Watch) Appoint(term uint64) { w.appointed = term }

// Yield leaves the next term to others for a while, after this entry has given
// up one because it reaches too little.
func (w *Watch) Yield(until time.Time) { w.yieldUntil = until }

// View returns the newest view.
func (w *Watch) View() View { return w.view }

// Term returns the newest term known.
func (w *Watch) Term() uint64 { return w.view.Term }

// LeaderGone reports whether the leader in view is known to lead no more.
func (w *Watch) LeaderGone() bool { return !w.goneAt.IsZero() }

// LeaderInTrouble reports whether the leader in view was heard to say that the
// store does not serve it either, or has said so until less than grace ago.
func (w *Watch) LeaderInTrouble(now time.Time, grace time.Duration) bool {
	return !w.troubleAt.IsZero() || !w.troubleEnded.IsZero() && now.Sub(w.troubleEnded) < grace
}

// endTrouble notes that a leader is served by the store.
func (w *Watch) endTrouble(now time.Time) {
	if !w.troubleAt.IsZero() {
		w.troubleAt, w.troubleEnded = time.Time{}, now
	}
}

// Heard takes in a direct sign of life of a leader. trouble says that the
// store does not serve it.
func (w *Watch) Heard(now time.Time, term, beat uint64, trouble bool) {
	if term != w.view.Term {
		return // the store or an announcement has to name the holder first
	}
	w.heardAt, w.goneAt = now, time.Time{}
	if beat > w.beat {
		w.beat, w.beatAt = beat, now
	}
	switch {
	case !trouble:
		w.endTrouble(now)
	case w.troubleAt.IsZero():
		w.troubleAt = now
	}
}

// Gone takes in that the process of the leader in view has ended, or that it
// says that it does not lead.
func (w *Watch) Gone(now time.Time, term uint64) {
	if term == w.view.Term && w.goneAt.IsZero() {
		w.goneAt = now
	}
}

// Saw takes in a reading of the store, or an announcement of a new leader.
func (w *Watch) Saw(now time.Time, v View) {
	w.read, w.readAt = true, now
	if w.servedAt.IsZero() {
		w.servedAt = now
	}
	if v.Term < w.view.Term {
		return
	}
	if v.Term == 0 {
		if w.emptyAt.IsZero() {
			w.emptyAt = now
		}
		return
	}
	if v.Term > w.view.Term {
		w.view = v
		w.heardAt, w.goneAt = now, time.Time{}
		w.endTrouble(now)
		w.beat, w.beatAt = v.Beat.Number, now
		return
	}
	w.view = v
	if v.Beat.Term == v.Term && v.Beat.Number > w.beat {
		w.beat, w.beatAt = v.Beat.Number, now
	}
	if v.Beat.Term == v.Term && v.Beat.Resigned {
		w.Gone(now, v.Term)
	}
}

// Missed takes in a reading of the store that failed.
func (w *Watch) Missed(now time.Time) {
	w.read, w.readAt = false, now
	w.servedAt = time.Time{}
}

// Next returns the next step of an entry that does not lead.
func (w *Watch) Next(now time.Time) Step {
	doubt, ready := w.doubt(now)
	if !doubt {
		return Nothing
	}
	fresh := w.read && now.Sub(w.readAt) < w.timing.PollEvery
	if ready && fresh && !now.Before(w.yieldUntil) {
		return ClaimTerm
	}
	if now.Sub(w.readAt) >= w.timing.PollEvery {
		return ReadStore
	}
	return Nothing
}

// doubt reports whether the leader may be lost, and whether this entry should
// take its place.
func (w *Watch) doubt(now time.Time) (doubt, ready bool) {
	preference := w.timing.Preference
	if w.appointed != 0 && w.appointed == w.view.Term {
		preference = 0
	}
	since := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) >= preference }
	switch {
	case w.view.Term == 0:
		return true, since(w.emptyAt)
	case !w.goneAt.IsZero():
		return true, since(w.goneAt)
	case !w.troubleAt.IsZero():
		return true, since(w.troubleAt) && !w.servedAt.IsZero() && now.Sub(w.servedAt) >= returnSlack
	case now.Sub(w.heardAt) >= w.timing.SilentAfter/doubtShare:
		// The store is read early, so that it is known since when the beat stands still.
		silent := now.Sub(w.heardAt) >= w.timing.SilentAfter+w.timing.Preference
		return true, silent && now.Sub(w.beatAt) >= w.timing.SilentAfter*2/doubtShare
	}
	return false, false
}

// doubtShare is the part of SilentAfter, as a divisor, after which a leader that
// was not heard is looked for in the store. The rest of SilentAfter is more than
// two intervals of its beat.
const doubtShare = 3
