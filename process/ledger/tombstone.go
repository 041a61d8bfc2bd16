package ledger

import "time"

// tombstone marks an incarnation of a job up to which starts are refused.
type tombstone struct {
	incarnation uint32
	at          time.Time
}

// tombstones keeps the highest tombstone of each job for retention after the latest one was
// added. Ledger.mu guards it.
type tombstones struct {
	retention time.Duration
	byJob     map[string]tombstone
	order     []insertion // by time; a job appears once per tombstone added
}

type insertion struct {
	job string
	at  time.Time
}

func (s *tombstones) add(job string, incarnation uint32, now time.Time) {
	s.expire(now)
	old, ok := s.byJob[job]
	if ok && old.incarnation > incarnation {
		incarnation = old.incarnation
	}
	if ok && old.at.Equal(now) {
		s.byJob[job] = tombstone{incarnation, now}
		return
	}
	s.byJob[job] = tombstone{incarnation, now}
	s.order = append(s.order, insertion{job, now})
}

func (s *tombstones) covers(job string, incarnation uint32, now time.Time) bool {
	s.expire(now)
	old, ok := s.byJob[job]
	return ok && incarnation <= old.incarnation
}

func (s *tombstones) expire(now time.Time) {
	for len(s.order) > 0 && now.Sub(s.order[0].at) > s.retention {
		first := s.order[0]
		s.order = s.order[1:]
		if s.byJob[first.job].at.Equal(first.at) {
			delete(s.byJob, first.job)
		}
	}
}
