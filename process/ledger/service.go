package ledger

import (
	"sort"

	"camphorhead.example/camphorhead/request/outcome"
)

// Service is the use of one service beside the agent.
type Service struct {
	Name            string
	Slots           int
	Busy            int // slots in use
	MaxConnections  int
	OpenConnections int
	Draining        bool // admits nothing; removed when it is idle
}

// SetService adds a service or changes its limits. What is in use stays counted.
func (l *Ledger) SetService(name string, slots, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[name]
	if !ok {
		s = &Service{Name: name}
		l.services[name] = s
	}
	s.Slots, s.MaxConnections, s.Draining = slots, connections, false
}

// RemoveService ends admissions to a service. Slots and connections in use stay counted,
// so that a service that is set again at once does not get more requests than it has slots.
func (l *Ledger) RemoveService(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.services[name]; ok {
		s.Draining = true
		l.removeIfIdle(s)
	}
}

// AcquireSlot takes a slot of a service. The error is of kind NoTarget or NoCapacity. It is
// called once per check, before the request to the target.
func (l *Ledger) AcquireSlot(service string) error {
	return l.acquireFrom(service, func(s *Service) bool {
		if s.Busy >= s.Slots {
			return false
		}
		s.Busy++
		return true
	})
}

func (l *Ledger) ReleaseSlot(service string) {
	l.releaseTo(service, func(s *Service) { s.Busy = max(s.Busy-1, 0) })
}

// AcquireConnection counts a new connection to a service, with the errors of AcquireSlot.
func (l *Ledger) AcquireConnection(service string) error {
	return l.acquireFrom(service, func(s *Service) bool {
		if s.OpenConnections >= s.MaxConnections {
			return false
		}
		s.OpenConnections++
		return true
	})
}

func (l *Ledger) ReleaseConnection(service string) {
	l.releaseTo(service, func(s *Service) { s.OpenConnections = max(s.OpenConnections-1, 0) })
}

// Services returns a copy of all services, ordered by name.
func (l *Ledger) Services() []Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	services := make([]Service, 0, len(l.services))
	for _, s := range l.services {
		services = append(services, *s)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}

func (l *Ledger) acquireFrom(service string, try func(*Service) bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[service]
	if !ok || s.Draining {
		return outcome.New(outcome.NoTarget, "no target of service "+service+" on this worker")
	}
	if !try(s) {
		return outcome.New(outcome.NoCapacity, "all slots or connections of service "+service+" are in use")
	}
	return nil
}

func (l *Ledger) releaseTo(service string, change func(*Service)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.services[service]; ok {
		change(s)
		l.removeIfIdle(s)
	}
}

// removeIfIdle removes a draining service without slots or connections in use. The caller
// holds mu.
func (l *Ledger) removeIfIdle(s *Service) {
	if s.Draining && s.Busy == 0 && s.OpenConnections == 0 {
		delete(l.services, s.Name)
	}
}
