package message

import (
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// The message kinds between the leading entry, the other entries and the agents.
const (
	KindReport    Kind = 20 // agent → leader: runs and ends
	KindOrders    Kind = 21 // leader → agent: starts and stops
	KindFollow    Kind = 22 // entry → leader: asks for updates
	KindUpdate    Kind = 23 // leader → entry: states of jobs
	KindSubmitted Kind = 24 // entry → leader: a job was recorded
	KindCancelled Kind = 25 // entry → leader: a cancelling was recorded
	KindWhoLeads  Kind = 27 // agent → entry: asks for the leader
	KindAnnounce  Kind = 28 // leader → entry: a term has begun
	KindLookup    Kind = 29 // entry → leader: asks for the record of a job
)

// WorkerInfo is what an agent knows of its worker.
type WorkerInfo struct {
	ID string `msgpack:"i"`
	// BornMs tells the lives of the worker apart.
	BornMs   int64               `msgpack:"b"`
	Service  string              `msgpack:"s"`
	Capacity resources.Resources `msgpack:"c"`
	Labels   []string            `msgpack:"l,omitempty"`
	Rack     string              `msgpack:"k,omitempty"`
	Draining bool                `msgpack:"d,omitempty"`
	// LeavesInMs is the least time until a draining worker leaves.
	LeavesInMs int64 `msgpack:"v,omitempty"`
	// Present is false while the worker does not answer.
	Present bool `msgpack:"p"`
}

// RunState is a run that an agent holds.
type RunState struct {
	Key         job.RunKey
	Checkpoint  string
	ProgressPct int
	// MilliCPU is the measured use of processors, TailMs the tail latency of a
	// task that serves users.
	MilliCPU int
	TailMs   int
	// PacePct is the share of its speed at which the agent lets it work.
	PacePct int
}

// RunEnd is the end of one run.
type RunEnd struct {
	Key job.RunKey
	How job.EndKind
	// Serial counts the ends that the agent reports in one session, from 1.
	Serial     uint64
	Checkpoint string
	// Void marks an end from before a lapse of the worker's lease, which the
	// platform does not count.
	Void    bool
	Result  []byte
	Message string
	// Cause says why the agent stopped the run; empty if it did not.
	Cause job.EvictionCause
	// Early marks a failure so soon after the start that the worker may be its cause.
	Early bool
}

// RunRefusal is a start that did not happen and will not.
type RunRefusal struct {
	Key    job.RunKey
	Reason string
	// Sick says that the worker itself refused the start.
	Sick bool
}

// Report tells the leader what happened at one worker since the previous report.
type Report struct {
	Agent    string   `msgpack:"i"`
	Address  string   `msgpack:"a,omitempty"`
	Location Location `msgpack:"l"`
	// Session numbers the attachments of the agent to a leader; orders of an
	// earlier one are not carried out any more.
	Session  uint64 `msgpack:"s"`
	Sequence uint64 `msgpack:"q"`
	// Full says that Running and Ends are complete: a run that is in neither
	// does not exist at this worker and never will.
	Full    bool         `msgpack:"f,omitempty"`
	Worker  *WorkerInfo  `msgpack:"w,omitempty"`
	Running []RunState   `msgpack:"r,omitempty"`
	Ends    []RunEnd     `msgpack:"e,omitempty"`
	Refused []RunRefusal `msgpack:"x,omitempty"`
	// ConfigSeen is the configuration version in force at the agent.
	ConfigSeen uint64 `msgpack:"v,omitempty"`
	// Summary is sent when it has changed since the last report that was answered.
	Summary *Summary `msgpack:"m,omitempty"`
	// Pairings are some of those that the agent learned and no leader has answered.
	Pairings []interference.Pairing `msgpack:"p,omitempty"`
}

// ReportReply answers a report.
type ReportReply struct {
	// Term is the leader's term; an agent follows the highest it has seen.
	Term uint64 `msgpack:"t"`
	// LeaseMs is how long the agent may keep its runs alive, from the time at
	// which it sent the report; 0: the leader grants nothing.
	LeaseMs int64 `msgpack:"l"`
	// NeedFull asks for a new session that begins with a full report.
	NeedFull bool `msgpack:"n,omitempty"`
	// Recorded is the serial of the last end up to which all are durable.
	Recorded uint64 `msgpack:"r,omitempty"`
	// Leader is where the leader is, if the asked process does not lead.
	Leader string `msgpack:"a,omitempty"`
	// Entries are addresses of entries to ask for the leader.
	Entries []string `msgpack:"e,omitempty"`
	// ConfigVersion is the configuration version in force at the leader.
	ConfigVersion uint64 `msgpack:"v,omitempty"`
}

// StartRun orders an agent to start one run.
type StartRun struct {
	Key        job.RunKey          `msgpack:"k"`
	Need       resources.Resources `msgpack:"n"`
	Charge     resources.Resources `msgpack:"c"`
	Checkpoint string              `msgpack:"p,omitempty"`
	Ticket     string              `msgpack:"t,omitempty"`
	Image      string              `msgpack:"m,omitempty"`
	TargetMs   int64               `msgpack:"g,omitempty"`
	Fills      bool                `msgpack:"f,omitempty"`
	Lasts      bool                `msgpack:"l,omitempty"`
	Profile    string              `msgpack:"o,omitempty"`
	Franchisee string              `msgpack:"s,omitempty"`
	Urgent     bool                `msgpack:"u,omitempty"`
	// EvictionsLeft is what is left of the job's budget of evictions.
	EvictionsLeft int `msgpack:"e,omitempty"`
}

// StopRun orders an agent to end one run.
type StopRun struct {
	Key job.RunKey
}

// JobInput is the input of a job, which an agent keeps for all its tasks.
type JobInput struct {
	Job   string
	Input []byte
}

// Orders tells an agent what to start and to stop.
type Orders struct {
	Term    uint64     `msgpack:"t"`
	Session uint64     `msgpack:"s"`
	Inputs  []JobInput `msgpack:"i,omitempty"`
	Starts  []StartRun `msgpack:"b,omitempty"`
	Stops   []StopRun  `msgpack:"e,omitempty"`
	// Recorded is the serial of the last end up to which all are durable.
	Recorded uint64 `msgpack:"r,omitempty"`
	// Adopted describes runs that the agent listed and knew nothing about.
	Adopted []StartRun `msgpack:"a,omitempty"`
}

// Follow asks the leader for updates over this connection.
type Follow struct {
	Entry EntryInfo `msgpack:"e"`
	// Term is the highest term that the entry knows.
	Term uint64 `msgpack:"t"`
	// Leaving entries take no part in what entries share any more.
	Leaving bool `msgpack:"l,omitempty"`
	// PreferenceMs is how long the entry would let others go first in the choice
	// of the next leader.
	PreferenceMs int64 `msgpack:"p,omitempty"`
}

// FollowReply accepts a follower, or names the leader.
type FollowReply struct {
	Term    uint64 `msgpack:"t"`
	Leading bool   `msgpack:"l"`
}

// JobUpdate is the state of one job.
type JobUpdate struct {
	Job     string
	Profile string
	State   job.State
}

// QueueLength is how many accepted jobs of a profile have not begun.
type QueueLength struct {
	Profile string
	Waiting int
}

// Update tells a following entry what has changed; an empty one shows that the
// leader is alive.
type Update struct {
	Term uint64 `msgpack:"t"`
	Beat uint64 `msgpack:"b"`
	// Trouble says that the store does not serve the leader, Resigned that it
	// has given the term up.
	Trouble  bool `msgpack:"x,omitempty"`
	Resigned bool `msgpack:"r,omitempty"`
	// Successor is the entry that begins the next term at once, after Resigned.
	Successor string        `msgpack:"u,omitempty"`
	Jobs      []JobUpdate   `msgpack:"j,omitempty"`
	Waiting   []QueueLength `msgpack:"w,omitempty"`
	// ConfigVersion is the configuration version in force at the leader.
	ConfigVersion uint64 `msgpack:"v,omitempty"`
	// Entries are the entries that the leader knows.
	Entries []EntryInfo `msgpack:"e,omitempty"`
	// Loading says that the leader does not know all jobs yet.
	Loading bool `msgpack:"l,omitempty"`
	// Agents are the summaries that changed, Gone the agents that were lost;
	// with AllAgents the summaries are those of all agents.
	Agents    []Summary `msgpack:"s,omitempty"`
	Gone      []string  `msgpack:"g,omitempty"`
	AllAgents bool      `msgpack:"y,omitempty"`
}

// Submitted tells the leader of a recorded job.
type Submitted struct {
	Definition *job.Definition `msgpack:"d"`
	// Term is the term in which it was accepted, Revision that of its record.
	Term     uint64 `msgpack:"t"`
	Revision uint64 `msgpack:"r"`
}

// JobRef names one job.
type JobRef struct {
	Job string `msgpack:"j"`
}

// LookupReply is the record of a job; nil if the leader does not know the job.
type LookupReply struct {
	Record *job.Record `msgpack:"r,omitempty"`
}

// WhoLeads asks a process where the leader is.
type WhoLeads struct{}

// Leader says where the leader is, as far as the asked process knows.
type Leader struct {
	Term    uint64 `msgpack:"t"`
	Address string `msgpack:"a,omitempty"`
}

// RefusedInput is the reason of a refusal when the agent lacks the job's input.
const RefusedInput = "no_input"

// RefusedLease is the reason of a refusal when the agent may give its worker no
// longer lease, because the worker does not answer or the leader is not heard.
const RefusedLease = "no_lease"

// RefusedTicket is the reason of a refusal when the worker does not accept the
// ticket of the policy service.
const RefusedTicket = "ticket"

// Announce names the holder of a new term.
type Announce struct {
	Term     uint64    `msgpack:"t"`
	Holder   EntryInfo `msgpack:"h"`
	Revision uint64    `msgpack:"r"`
}
