package lead

import (
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/job"
)

// states are the states of jobs that this entry may show to callers. A final
// state never changes again.
type states struct {
	clock     clockwork.Clock
	retention time.Duration

	mu      lockrank.Mutex // guards the fields below
	jobs    map[string]*knownJob
	waiting map[string]int // by profile
	order   []*knownJob    // by the time at which they were first known
}

type knownJob struct {
	id, profile string
	state       job.State
	at          time.Time
}

// keepFactor is how many retentions a state is kept from the time at which the
// job became known, since a job may run long before it ends.
const keepFactor = 2

func newStates(clock clockwork.Clock, retention time.Duration) *states {
	return &states{
		clock: clock, retention: retention, mu: lockrank.NewMutex(lockrank.RankRecords),
		jobs: map[string]*knownJob{}, waiting: map[string]int{},
	}
}

// get returns the state of a job, if it is known here.
func (s *states) get(id string) (job.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.jobs[id]; k != nil {
		return k.state, true
	}
	return "", false
}

func (s *states) set(id, profile string, state job.State) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(now, id, profile, state)
}

func (s *states) setLocked(now time.Time, id, profile string, state job.State) {
	k := s.jobs[id]
	if k == nil {
		k = &knownJob{id: id, profile: profile, state: state, at: now}
		s.jobs[id] = k
		s.order = append(s.order, k)
		return
	}
	if k.state.Terminal() || state == job.Accepted {
		return
	}
	k.state, k.at = state, now
}

// reopen forgets the final state of a job that was recorded anew.
func (s *states) reopen(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.jobs[id]; k != nil && k.state.Terminal() {
		k.state = job.Accepted
	}
}

// apply takes in an update of the leader.
func (s *states) apply(jobs []message.JobUpdate, waiting []message.QueueLength) {
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

// queueLength returns the number of accepted jobs of a profile that have not begun.
func (s *states) queueLength(profile string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[profile]
}

// waitingJobs returns the number of accepted jobs that have not begun.
func (s *states) waitingJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.waiting {
		sum += n
	}
	return sum
}

// expire drops what was not heard of for long.
func (s *states) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.order) > 0 {
		k := s.order[0]
		if now.Sub(k.at) < keepFactor*s.retention {
			return
		}
		s.order = s.order[1:]
		delete(s.jobs, k.id)
	}
}
