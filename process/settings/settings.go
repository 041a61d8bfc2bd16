// Package settings reads the settings file of one process.
//
// A Settings value returned by Load or Parse has passed every check: no key is
// unknown, no value is out of range, and no two settings contradict each other.
// Settings do not change while the process runs.
package settings

import "time"

// Role is the role of a process.
type Role string

// The roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Settings is the content of one settings file, with defaults for absent keys.
type Settings struct {
	Role    Role    `toml:"role"`
	Process Process `toml:"process"`
	HTTP    HTTP    `toml:"http"`
	Store   Store   `toml:"store,omitempty"`
	Worker  Worker  `toml:"worker,omitempty"`
	Entries Entries `toml:"entries"`
	Jobs    Jobs    `toml:"jobs,omitempty"`
	Advice  Advice  `toml:"advice,omitempty"`
	Lease   Lease   `toml:"lease"`
	Records Records `toml:"records,omitempty"`
	// Interference must be the same on all processes.
	Interference Interference `toml:"interference"`
	Scheduling   Scheduling   `toml:"scheduling,omitempty"`
	Limits       Limits       `toml:"limits"`
	Network      Network      `toml:"network"`
	Log          Log          `toml:"log"`
	Auth         Auth         `toml:"auth"`
}

// Process is the identity and the frame listener of the process.
type Process struct {
	ID            string `toml:"id"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
	Rack          string `toml:"rack,omitempty"`
	Listen        string `toml:"listen"`
	Advertise     string `toml:"advertise,omitempty"`
	// Key is the secret that all processes share. Parse reads it from KeyFile if that is set.
	Key     Secret `toml:"key,omitempty"`
	KeyFile string `toml:"key_file,omitempty"`
}

// Address returns the address at which other processes reach this one.
func (p Process) Address() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// Secret is a string that formats as a placeholder, so that printing a Settings value
// does not reveal it. Convert it to string to use it.
type Secret string

// String implements fmt.Stringer.
func (Secret) String() string { return "(redacted)" }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return "(redacted)" }

// MarshalJSON implements json.Marshaler.
func (Secret) MarshalJSON() ([]byte, error) { return []byte(`"(redacted)"`), nil }

// HTTP configures the HTTP listener, which serves callers and operators on an entry,
// and announcements of targets and metrics on an agent.
type HTTP struct {
	Listen       string `toml:"listen"`
	TLSCert      string `toml:"tls_cert,omitempty"`
	TLSKey       string `toml:"tls_key,omitempty"`
	MaxBodyBytes int64  `toml:"max_body_bytes"`
}

// The protocols between an agent and its worker.
const (
	ProtocolNative   = "native"
	ProtocolPlatform = "platform"
)

// The forms of the operators' configuration in the store.
const (
	// ConfigurationLog is a log of changes that entries write for operators.
	ConfigurationLog = "log"
	// ConfigurationDocument is one document that operators write themselves.
	ConfigurationDocument = "document"
)

// Store is the platform's key-value store.
type Store struct {
	URL string `toml:"url"`
	// Configuration is log or document; empty means log.
	Configuration string `toml:"configuration,omitempty"`
}

// Worker configures an agent's interface to its worker.
type Worker struct {
	URL string `toml:"url"`
	// Protocol is native or platform; empty means native.
	Protocol string `toml:"protocol,omitempty"`
	// Registry is the address at which the agent receives announcements of the worker,
	// Service the service that these must name. Only the platform protocol uses them.
	Registry string `toml:"registry,omitempty"`
	Service  string `toml:"service,omitempty"`
}

// Jobs configures an entry's listeners for callers who select a profile by address.
type Jobs struct {
	Listen string `toml:"listen"`
	// Ready is the address at which load balancers check whether the entry accepts requests.
	Ready string `toml:"ready"`
}

// Advice configures the policy service, which decides which workers may run a step.
type Advice struct {
	// Address is an IP address and port; empty if there is no policy service.
	Address string `toml:"address,omitempty"`
}

// Entries lists the entries that the process contacts first.
type Entries struct {
	Seeds []string `toml:"seeds,omitempty"`
}

// Lease holds the durations of leases.
type Lease struct {
	TaskMs      int64 `toml:"task_ms"`
	HeartbeatMs int64 `toml:"heartbeat_ms"`
	// LeaderMs is the time without a leader heartbeat after which the leader is replaced.
	LeaderMs int64 `toml:"leader_ms"`
	// OutageMs is how long a leader keeps its term while the store is unavailable.
	OutageMs int64 `toml:"outage_ms"`
	// WorkerMs is the length of the lease that an agent extends at its worker.
	WorkerMs int64 `toml:"worker_ms"`
	// WorkerMaxMs is the longest lease that workers grant. They shorten longer ones to it. 0, or
	// less than WorkerMs: WorkerMs.
	WorkerMaxMs int64 `toml:"worker_max_ms,omitempty"`
	// CancelMs is the time after the response to a cancellation by which no task of the job starts any
	// more. Only entries use it.
	CancelMs int64 `toml:"cancel_ms,omitempty"`
}

// Outage returns how long a leader keeps its term while the store is unavailable.
func (l Lease) Outage() time.Duration { return milliseconds(l.OutageMs) }

// Worker returns the length of a worker's lease.
func (l Lease) Worker() time.Duration { return milliseconds(l.WorkerMs) }

// WorkerMax returns the longest lease that workers grant.
func (l Lease) WorkerMax() time.Duration { return milliseconds(max(l.WorkerMs, l.WorkerMaxMs)) }

// Cancel returns the time after the response to a cancellation by which no task of the job starts any
// more.
func (l Lease) Cancel() time.Duration { return milliseconds(l.CancelMs) }

// Task returns the length of a task lease.
func (l Lease) Task() time.Duration { return milliseconds(l.TaskMs) }

// Heartbeat returns the interval between an agent's reports to the leader.
func (l Lease) Heartbeat() time.Duration { return milliseconds(l.HeartbeatMs) }

// Leader returns the leader timeout, LeaderMs.
func (l Lease) Leader() time.Duration { return milliseconds(l.LeaderMs) }

// Records holds the intervals for job records. Only entries use it.
type Records struct {
	CommitMs    int64 `toml:"commit_ms"`
	RetentionMs int64 `toml:"retention_ms"`
	// CheckpointMs is the least interval between records of a running task's checkpoint;
	// 0 records it only along with other changes of the job.
	CheckpointMs int64 `toml:"checkpoint_ms"`
}

// Checkpoint returns the least interval between records of a running task's checkpoint.
func (r Records) Checkpoint() time.Duration { return milliseconds(r.CheckpointMs) }

// Commit returns the interval for which records are collected into one batch.
func (r Records) Commit() time.Duration { return milliseconds(r.CommitMs) }

// Retention returns how long the record of an ended job is kept.
func (r Records) Retention() time.Duration { return milliseconds(r.RetentionMs) }

// Interference bounds the interference of filling tasks with serving ones.
type Interference struct {
	// MaxOverMs is the longest uninterrupted time that a serving task may be over its
	// latency target while filling tasks work on its worker.
	MaxOverMs int64 `toml:"max_over_ms"`
}

// MaxOver returns MaxOverMs as a duration.
func (i Interference) MaxOver() time.Duration { return milliseconds(i.MaxOverMs) }

// Scheduling switches on the optional decisions of the leader. Without it the leader decides as if
// none of them existed. Only entries use it; it must be the same on all of them.
type Scheduling struct {
	// Forecast places filling tasks by the forecast load of the serving tasks beside them.
	Forecast bool `toml:"forecast,omitempty"`
	// LearnRunTimes uses the run times of ended runs instead of the declared estimates.
	LearnRunTimes bool `toml:"learn_run_times,omitempty"`
	// MoveDeparting moves tasks off a worker that has announced its departure.
	MoveDeparting bool `toml:"move_departing,omitempty"`
	// RefuseHopeless refuses jobs that could not be done in a time that is of use to their caller.
	RefuseHopeless bool `toml:"refuse_hopeless,omitempty"`
	// MaxPlaceWaitMs is the longest time for which a task waits for a worker on the rack of its data
	// or its group; 0: it does not wait.
	MaxPlaceWaitMs int64 `toml:"max_place_wait_ms,omitempty"`
	// FarFactor is the run time of a task away from its rack as a multiple of that on the rack; 0: it
	// is learned only.
	FarFactor float64 `toml:"far_factor,omitempty"`
	// ModelIntervalMs is the time between two records of what the leader has learned, which the next
	// leader reads; 0: it is not recorded.
	ModelIntervalMs int64 `toml:"model_interval_ms,omitempty"`
}

// MaxPlaceWait returns the longest wait of a task for a worker on its rack.
func (s Scheduling) MaxPlaceWait() time.Duration { return milliseconds(s.MaxPlaceWaitMs) }

// ModelInterval returns the time between two records of what the leader has learned.
func (s Scheduling) ModelInterval() time.Duration { return milliseconds(s.ModelIntervalMs) }

// Limits bounds the queues, the resources and the call times of the process.
type Limits struct {
	PoolWorkers int64 `toml:"pool_workers"`
	PoolQueue   int64 `toml:"pool_queue"`
	QueueLength int64 `toml:"queue_length"`
	// ReserveMilliCPU and ReserveMemoryMB are reserved for checks on the worker of an agent.
	ReserveMilliCPU int64 `toml:"reserve_milli_cpu,omitempty"`
	ReserveMemoryMB int64 `toml:"reserve_memory_mb,omitempty"`
	// CPUFloorPercent is the least part of its declared processors that a task is charged.
	// Below 100, the declared processors of a worker's tasks may exceed its capacity.
	CPUFloorPercent int64 `toml:"cpu_floor_percent"`
	CallTimeoutMs   int64 `toml:"call_timeout_ms"`
	// ProcessorPercent is the share of one processor that the process may use; 0 means
	// 100. MemoryMB bounds the memory of the process; 0 means no bound.
	ProcessorPercent int64 `toml:"processor_percent,omitempty"`
	MemoryMB         int64 `toml:"memory_mb,omitempty"`
}

// ProcessorShare returns ProcessorPercent as a fraction of one processor; 1 if it is 0.
func (l Limits) ProcessorShare() float64 {
	if l.ProcessorPercent <= 0 {
		return 1
	}
	return float64(l.ProcessorPercent) / 100
}

// CallTimeout returns the timeout of a call to another process, the store, a worker or
// a target, unless the call has an earlier deadline. For reads of the store that may be
// large it is the longest time without progress.
func (l Limits) CallTimeout() time.Duration { return milliseconds(l.CallTimeoutMs) }

// Network describes the network between the processes.
type Network struct {
	// AddressMap maps announced addresses to the addresses to dial instead.
	AddressMap map[string]string `toml:"address_map,omitempty"`
	// LinkMbit is the bandwidth of a link between two regions, in Mbit/s.
	LinkMbit int64 `toml:"link_mbit"`
}

// DialAddress returns the address to dial for an announced one.
func (n Network) DialAddress(address string) string {
	if mapped, ok := n.AddressMap[address]; ok {
		return mapped
	}
	return address
}

// The formats and levels of the log.
const (
	FormatHuman = "human"
	FormatJSON  = "json"
	LevelDebug  = "debug"
	LevelInfo   = "info"
	LevelError  = "error"
)

// Log selects the format and the least level of the log.
type Log struct {
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// Auth lists the tokens of the HTTP listener and whether it requires one.
type Auth struct {
	Required bool    `toml:"required"`
	Tokens   []Token `toml:"tokens,omitempty"`
}

// TokenRole names the permissions of a token.
type TokenRole string

// The roles of tokens.
const (
	Operator     TokenRole = "operator"
	TeamOperator TokenRole = "team-operator"
	Caller       TokenRole = "caller"
	Reader       TokenRole = "reader"
)

// AnyFranchisee lets a caller act for every franchisee.
const AnyFranchisee = "*"

// Token describes one bearer token, of which only the hash is stored.
type Token struct {
	Name       string    `toml:"name"`
	Role       TokenRole `toml:"role"`
	Team       string    `toml:"team,omitempty"`
	Franchisee string    `toml:"franchisee,omitempty"`
	// SHA256 is the hash of the token in 64 lower-case hexadecimal digits.
	SHA256 string `toml:"sha256"`
}

// ActsFor reports whether the token may send requests for the franchisee.
func (t Token) ActsFor(franchisee string) bool {
	return t.Role == Caller && (t.Franchisee == AnyFranchisee || t.Franchisee == franchisee)
}

// Default returns the default settings of a role. They are not valid by themselves:
// identity, key and platform addresses have no default.
func Default(role Role) Settings {
	s := Settings{
		Role:    role,
		Process: Process{Listen: "127.0.0.1:7100"},
		HTTP:    HTTP{Listen: "127.0.0.1:7180", MaxBodyBytes: 262_144},
		Lease: Lease{
			TaskMs: 30_000, HeartbeatMs: 10_000, LeaderMs: 10_000, OutageMs: 3_600_000, WorkerMs: 30_000,
		},
		Interference: Interference{MaxOverMs: 4000},
		Limits:       Limits{PoolWorkers: 16, PoolQueue: 4096, QueueLength: 512, CPUFloorPercent: 100, CallTimeoutMs: 2000},
		Network:      Network{LinkMbit: 30},
		Log:          Log{Format: FormatHuman, Level: LevelInfo},
	}
	if role == RoleEntry {
		s.Lease.CancelMs = 3000
		s.Records = Records{CommitMs: 40, RetentionMs: 86_400_000, CheckpointMs: 30_000}
	}
	return s
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
