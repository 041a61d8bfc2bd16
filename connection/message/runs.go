package message

import (
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// The message kinds between the leader, the other entries and the agents.
const (
	KindReport     Kind = 20 // agent → leader: what happened at the worker; reply is ReportReply
	KindOrders     Kind = 21 // leader → agent: starts and stops of runs
	KindFollow     Kind = 22 // entry → leader: subscribes to updates; reply is FollowReply
	KindUpdate     Kind = 23 // leader → entry: heartbeat and changed states
	KindSubmitted  Kind = 24 // entry → leader: a job was recorded
	KindCancelled  Kind = 25 // entry → leader: the cancellation of a job was recorded; body is JobRef
	KindFindLeader Kind = 27 // agent → entry: asks for the leader; reply is Leader
	KindAnnounce   Kind = 28 // leader → entry: a term has begun
	KindLookup     Kind = 29 // entry → leader: asks for the record of a job; body is JobRef, reply LookupReply
	KindFollowing  Kind = 30 // entry → leader: still follows
)

// WorkerInfo describes the worker beside an agent.
type WorkerInfo struct {
	ID string `msgpack:"i"`
	// StartedMs is the unix time in milliseconds at which the worker instance
	// started; it distinguishes the instances of one worker.
	StartedMs  int64               `msgpack:"b"`
	Service    string              `msgpack:"s"`
	Capacity   resources.Resources `msgpack:"c"`
	Labels     []string            `msgpack:"l,omitempty"`
	Rack       string              `msgpack:"k,omitempty"`
	Draining   bool                `msgpack:"d,omitempty"`
	LeavesInMs int64               `msgpack:"v,omitempty"` // shortest time until a draining worker leaves
	// PlannedStop is set if an operator's planned stop makes the worker drain; the agent then stops
	// its runs without orders.
	PlannedStop bool `msgpack:"ps,omitempty"`
	// Reachable is false while the worker does not respond, and after it has withdrawn.
	Reachable bool `msgpack:"p"`
}

// RunState is the state of a run that has not ended.
type RunState struct {
	Key         job.RunKey
	Checkpoint  string
	ProgressPct int
	MilliCPU    int // measured CPU usage in thousandths of a processor
	TailMs      int // tail latency of a serving task in milliseconds
	PacePct     int // pace that the agent allows the run, in percent
	// Unconfirmed is set while the worker has neither accepted the start nor listed the run.
	Unconfirmed bool `msgpack:",omitempty"`
}

// RunEnd is the end of one run.
type RunEnd struct {
	Key        job.RunKey
	How        job.EndKind
	Serial     uint64 // numbers the ends that the agent reports in one session, from 1
	Checkpoint string
	// Void marks an end that no leader had recorded when the worker's lease expired.
	// The platform does not count it; the leader treats it as an expiry of the lease.
	Void    bool
	Result  []byte
	Message string
	Cause   job.EvictionCause // why the agent evicted the run; empty if it did not
	Early   bool              // failed so soon after the start that the worker may be the cause
}

// RunRefusal reports an ordered start that did not take effect and never will.
type RunRefusal struct {
	Key job.RunKey
	// Reason is RefusedInput, RefusedLease, RefusedTicket, or a text that only
	// appears in the event and as a metrics label.
	Reason    string
	Unhealthy bool // the worker refused the start because it is unhealthy
}

// Report lists what happened at one worker since the previous report.
type Report struct {
	Agent    string   `msgpack:"i"`
	Address  string   `msgpack:"a,omitempty"`
	Location Location `msgpack:"l"`
	// Session numbers the agent's attachments to a leader; the agent ignores orders
	// of an earlier one. Sequence numbers the reports of a session; the leader
	// ignores a report that arrives after a later one.
	Session  uint64 `msgpack:"s"`
	Sequence uint64 `msgpack:"q"`
	// Term is the highest term that the agent has seen. 0: an agent of an earlier version.
	Term uint64 `msgpack:"n,omitempty"`
	// Full is set if Running and Ends are complete: a run that is in neither does
	// not exist at this worker and never will.
	Full bool `msgpack:"f,omitempty"`
	// MoreEnds is set in a full report whose Ends may lack some that the worker has not listed yet,
	// so that a run in neither may have ended. Another session begins once they are listed.
	MoreEnds      bool         `msgpack:"o,omitempty"`
	Worker        *WorkerInfo  `msgpack:"w,omitempty"` // nil: unchanged since the previous report
	Running       []RunState   `msgpack:"r,omitempty"`
	Ends          []RunEnd     `msgpack:"e,omitempty"`
	Refused       []RunRefusal `msgpack:"x,omitempty"`
	ConfigVersion uint64       `msgpack:"v,omitempty"` // in force at the agent
	Summary       *Summary     `msgpack:"m,omitempty"` // nil: unchanged since a leader last acknowledged it
	// Pairings are some of the interference estimates that no leader has acknowledged.
	Pairings []interference.Pairing `msgpack:"p,omitempty"`
}

// ReportReply is the reply to a Report.
type ReportReply struct {
	Term uint64 `msgpack:"t"` // the leader's; an agent follows the highest that it has seen
	// LeaseMs is how long the agent may keep its runs alive, in milliseconds since
	// it sent the report; 0: the leader grants no lease.
	LeaseMs int64 `msgpack:"l"`
	// LeasePending: the leader has accepted the report and grants a lease once the store contains
	// the agent. The agent keeps its session and reports again.
	LeasePending bool   `msgpack:"p,omitempty"`
	NeedFull     bool   `msgpack:"n,omitempty"` // requests a new session that begins with a full report
	Recorded     uint64 `msgpack:"r,omitempty"` // serial up to which all ends of the session are durable
	Leader       string `msgpack:"a,omitempty"` // address of the leader, if the replying process does not lead
	// Entries are the addresses of entries that the agent can ask for the leader;
	// empty if they have not changed.
	Entries       []string `msgpack:"e,omitempty"`
	ConfigVersion uint64   `msgpack:"v,omitempty"` // in force at the leader
	// Isolated is set if the leader has for its timeout reached neither the store nor all other entries.
	// Another entry may have begun a term, so the agent asks the entries for it and goes over to it.
	Isolated bool `msgpack:"o,omitempty"`
}

// StartRun orders an agent to start one run.
type StartRun struct {
	Key           job.RunKey          `msgpack:"k"`
	Need          resources.Resources `msgpack:"n"`
	Charge        resources.Resources `msgpack:"c"`           // part of Need deducted from the worker's free capacity
	Checkpoint    string              `msgpack:"p,omitempty"` // to resume from; empty: start from the beginning
	Ticket        string              `msgpack:"t,omitempty"`
	Image         string              `msgpack:"m,omitempty"`
	TargetMs      int64               `msgpack:"g,omitempty"` // tail latency bound of a serving task; 0: not a serving task
	Fills         bool                `msgpack:"f,omitempty"`
	LongRunning   bool                `msgpack:"l,omitempty"` // runs until it is stopped
	Profile       string              `msgpack:"o,omitempty"`
	Franchisee    string              `msgpack:"s,omitempty"`
	Urgent        bool                `msgpack:"u,omitempty"`
	EvictionsLeft int                 `msgpack:"e,omitempty"` // evictions that the job's limit still allows
}

// StopRun orders an agent to end one run.
type StopRun struct {
	Key job.RunKey
}

// JobInput is the input of a job. An agent keeps it for all tasks of the job.
type JobInput struct {
	Job   string
	Input []byte
}

// Orders are the leader's start and stop instructions to an agent.
type Orders struct {
	Term     uint64     `msgpack:"t"`
	Session  uint64     `msgpack:"s"`
	Inputs   []JobInput `msgpack:"i,omitempty"` // needed by Starts and not sent in this session before
	Starts   []StartRun `msgpack:"b,omitempty"`
	Stops    []StopRun  `msgpack:"e,omitempty"`
	Recorded uint64     `msgpack:"r,omitempty"` // as in ReportReply
	// Adopted describes runs that the agent reported but has no orders for, as
	// after its restart.
	Adopted []StartRun `msgpack:"a,omitempty"`
	// Sequence is that of the session's latest report which the leader had applied. The starts may be
	// sent to the worker for StartWithinMs milliseconds after that report was sent, because the leader may
	// not know later cancellations. 0: the leader is of an earlier version and sets no limit.
	Sequence      uint64 `msgpack:"q,omitempty"`
	StartWithinMs int64  `msgpack:"w,omitempty"`
}

// Follow subscribes an entry to the leader's updates over this connection.
type Follow struct {
	Entry EntryInfo `msgpack:"e"`
	Term  uint64    `msgpack:"t"` // highest term known to the entry
	// Draining is set if the entry drains; the leader then neither lists it among the
	// entries nor chooses it as its successor.
	Draining bool `msgpack:"l,omitempty"`
	// ClaimDelayMs is how long the entry waits before it claims a vacant term, in
	// milliseconds; entries with shorter delays go first.
	ClaimDelayMs int64 `msgpack:"p,omitempty"`
}

// FollowReply is the reply to a Follow.
type FollowReply struct {
	Term    uint64 `msgpack:"t"` // the leader's; from another process the newest that it knows
	Leading bool   `msgpack:"l"` // whether the process leads and accepts the follower
}

// JobUpdate is the state of one job.
type JobUpdate struct {
	Job     string
	Profile string
	State   job.State
}

// QueueLength is the number of accepted jobs of a profile that have not begun.
type QueueLength struct {
	Profile string
	Waiting int
}

// Update informs a follower of changes at the leader. Without changes it still
// shows that the leader is alive.
type Update struct {
	Term      uint64 `msgpack:"t"`
	Heartbeat uint64 `msgpack:"b"`           // number of the leader's latest heartbeat in the store
	Degraded  bool   `msgpack:"x,omitempty"` // the store does not serve the leader
	// Resigned is set if the leader has resigned its term. Successor is then the ID
	// of the entry that claims the next term immediately; empty: none.
	Resigned      bool          `msgpack:"r,omitempty"`
	Successor     string        `msgpack:"u,omitempty"`
	Jobs          []JobUpdate   `msgpack:"j,omitempty"`
	Waiting       []QueueLength `msgpack:"w,omitempty"`
	Config        ConfigState   `msgpack:"v"`
	Entries       []EntryInfo   `msgpack:"e,omitempty"` // without those that drain; empty: not listed
	Loading       bool          `msgpack:"l,omitempty"` // the leader has not loaded all jobs yet
	Agents        []Summary     `msgpack:"s,omitempty"` // the changed ones; all if AllAgents is set
	RemovedAgents []string      `msgpack:"g,omitempty"`
	AllAgents     bool          `msgpack:"y,omitempty"`
	// Stamp is the time of sending by a clock that only the leader reads; followers return
	// it in Following. 0: none.
	Stamp int64 `msgpack:"z,omitempty"`
	// Evacuated are the failure domains at whose workers the leader orders no runs. Only an update
	// with a Stamp lists them.
	Evacuated []string `msgpack:"ev,omitempty"`
	// Backlog replaces the one of an earlier update; nil: unchanged, or the leader publishes none.
	Backlog *Backlog `msgpack:"bl,omitempty"`
	// EarlierLeader is set while the leader of the previous term, which this one has never followed, may
	// still order starts. Cancellations are not acknowledged meanwhile.
	EarlierLeader bool `msgpack:"el,omitempty"`
	// StoreRevision is a revision that the store had reached when this was sent; 0: not known. A job that
	// is submitted after its arrival is not one from before a refusal record with a lower revision.
	StoreRevision uint64 `msgpack:"sr,omitempty"`
}

// Following tells the leader that an entry has begun no newer term when it sent this. Stamp is
// the latest that it has received in an update of the term; 0: none.
type Following struct {
	Term   uint64      `msgpack:"t"`
	Stamp  int64       `msgpack:"z,omitempty"`
	Config ConfigState `msgpack:"v"`
}

// Submitted notifies the leader of a recorded job.
type Submitted struct {
	Definition *job.Definition `msgpack:"d"`
	Term       uint64          `msgpack:"t"` // in which the job was accepted
	Revision   uint64          `msgpack:"r"` // of the job's record in the store
}

// JobRef identifies a job.
type JobRef struct {
	Job string `msgpack:"j"`
	// Revision is that of the record of the cancellation, in a message of KindCancelled; 0: the sender is
	// of an earlier version.
	Revision uint64 `msgpack:"r,omitempty"`
}

// LookupReply carries the record of a job; nil if the leader has no record of it.
type LookupReply struct {
	Record *job.Record `msgpack:"r,omitempty"`
}

// FindLeader asks an entry for the address of the leader.
type FindLeader struct{}

// Leader is the leader of the newest term that the replying entry knows.
type Leader struct {
	Term    uint64 `msgpack:"t"`
	Address string `msgpack:"a,omitempty"` // empty: no leader known in this term
}

// RefusedInput is the reason of a RunRefusal if the agent lacks the job's input.
const RefusedInput = "no_input"

// RefusedLease is the reason of a RunRefusal if the agent may not extend its worker's
// lease, because the worker does not respond or the leader has not renewed the grant.
const RefusedLease = "no_lease"

// RefusedTicket is the reason of a RunRefusal if the worker does not accept the
// policy service's ticket.
const RefusedTicket = "ticket"

// Announce announces a new term, its holder and the revision of its stored record.
type Announce struct {
	Term     uint64    `msgpack:"t"`
	Holder   EntryInfo `msgpack:"h"`
	Revision uint64    `msgpack:"r"`
}
