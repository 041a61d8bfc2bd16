package entry

import (
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/version/profile"
)

// KnownTargets returns the number of targets of a service in the fleet table.
func (e *Entry) KnownTargets(service string) int {
	count := 0
	for _, s := range e.fleet.Agents() {
		for _, load := range s.Services {
			if load.Service == service {
				count++
			}
		}
	}
	return count
}

// LeaderReady reports whether jobs are served: there is a leader that has loaded all of them.
func (e *Entry) LeaderReady() bool { return e.node.LeaderReady() }

// Ready reports whether this entry is started and not stopping or draining.
func (e *Entry) Ready() bool { return e.ready.Load() }

// Members returns the entries in the latest list of the leader, without those that drain.
func (e *Entry) Members() []message.EntryInfo { return e.node.Entries() }

// FrameBytes returns the bytes sent and received as frames by this process.
func (e *Entry) FrameBytes() (sent, received int64) { return e.net.Traffic().Total() }

// Profile returns a profile in force; it is empty when there is none of that name.
func (e *Entry) Profile(name string) profile.Profile { return e.config.Document().Profiles[name] }
