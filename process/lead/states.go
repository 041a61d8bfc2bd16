package lead

import (
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/job"
)

// stateCache holds the states of jobs that this entry reports to callers, and the queue
// lengths. It exists as long as the process. A final state changes only by reopen.
type stateCache struct {
	clock     clockwork.Clock
	retention time.Duration

	mu      lockrank.Mutex // guards the fields below
	jobs    map[string]*cachedJob
	waiting map[string]int // accepted jobs that have not begun, by profile
	order   []*cachedJob   // in the order in which they entered the cache
}

type cachedJob struct {
	id, profile string
	state       job.State
	at          time.Time // last change of state
}

// retentionFactor is the number of retentions after its last change for which a state is
// kept. It is above 1 because a job may run for long before it ends.
const retentionFactor = 2

func newStateCache(clock clockwork.Clock, retention time.Duration) *stateCache {
	return &stateCache{
		clock: clock, retention: retention, mu: lockrank.NewMutex(lockrank.RankRecords),
		jobs: map[string]*cachedJob{}, waiting: map[string]int{},
	}
}

// get returns the state of a job. A final state is not known any more after the retention: the record may
// have been deleted, and the ID handed in anew.
func (s *stateCache) get(id string) (job.State, bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.jobs[id]; k != nil && !(k.state.Terminal() && now.Sub(k.at) >= s.retention) {
		return k.state, true
	}
	return "", false
}

func (s *stateCache) set(id, profile string, state job.State) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(now, id, profile, state)
}

// setLocked applies the state of a job, unless the cached state is final or the new one is
// accepted and the job is in the cache. The caller holds mu.
func (s *stateCache) setLocked(now time.Time, id, profile string, state job.State) {
	k := s.jobs[id]
	if k == nil {
		k = &cachedJob{id: id, profile: profile, state: state, at: now}
		s.jobs[id] = k
		s.order = append(s.order, k)
		return
	}
	if k.state.Terminal() && now.Sub(k.at) < s.retention || !k.state.Terminal() && state == job.Accepted {
		return
	}
	k.state, k.at = state, now
}

// reopen resets a final state to accepted, for a job that was recorded again.
func (s *stateCache) reopen(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.jobs[id]; k != nil && k.state.Terminal() {
		k.state = job.Accepted
	}
}

func (s *stateCache) apply(jobs []message.JobUpdate, waiting []message.QueueLength) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range jobs {
		s.setLocked(now, u.Job, u.Profile, u.State)
	}
	for _, w := range waiting {
		s.waiting[w.Profile] = w.Waiting
	}
}

func (s *stateCache) queueLength(profile string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[profile]
}

func (s *stateCache) waitingJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.waiting {
		sum += n
	}
	return sum
}

// expire removes jobs without a change for retentionFactor retentions. A job whose state
// changed keeps its place in the order, so it can delay the removal of later ones.
func (s *stateCache) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.order) > 0 {
		k := s.order[0]
		if now.Sub(k.at) < retentionFactor*s.retention {
			return
		}
		s.order = s.order[1:]
		delete(s.jobs, k.id)
	}
}
