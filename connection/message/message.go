// Package message defines the typed messages between camphorhead's processes.
//
// The types carry no behaviour: decisions take their fields, and package peer
// encodes them. Short msgpack names keep control traffic within its budget.
package message

import (
	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// Kind numbers the message types on the wire. Numbers are never reused.
type Kind = uint8

// The message kinds of every process. Those between leader, entries and agents
// are beside their types.
const (
	KindReply      Kind = 1 // answer to a call
	KindError      Kind = 2 // failed answer; body is outcome.Error
	KindHello      Kind = 3
	KindPing       Kind = 4
	KindCheck      Kind = 6
	KindQuery      Kind = 10
	KindConfig     Kind = 13
	KindTimeline   Kind = 17
	KindConfigPull Kind = 18
)

// Role is the role of a process.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Location says where a process runs.
type Location struct {
	Region string `msgpack:"r" json:"region"`
	Domain string `msgpack:"d" json:"failure_domain"`
	Rack   string `msgpack:"k,omitempty" json:"rack,omitempty"`
}

// Hello opens a connection; both sides send one.
type Hello struct {
	ID            string   `msgpack:"i"`
	Role          Role     `msgpack:"o"`
	Address       string   `msgpack:"a"`
	Location      Location `msgpack:"l"`
	ConfigVersion uint64   `msgpack:"v"`
	Nonce         []byte   `msgpack:"n,omitempty"`
	Proof         []byte   `msgpack:"p,omitempty"`
}

// Ping measures a connection and keeps it open.
type Ping struct {
	SentMs int64 `msgpack:"t"`
}

// Summary is the state of one worker as its agent last reported it.
type Summary struct {
	Agent    string   `msgpack:"i"`
	Address  string   `msgpack:"a,omitempty"`
	Session  uint64   `msgpack:"s"`
	Sequence uint64   `msgpack:"q"`
	Location Location `msgpack:"l"`
	// Capacity is what the worker has, Free what its agent would still admit.
	Capacity resources.Resources `msgpack:"c"`
	Free     resources.Resources `msgpack:"f"`
	// Services are the targets beside the agent.
	Services    []ServiceLoad `msgpack:"sv,omitempty"`
	Tasks       int           `msgpack:"n"`
	Draining    bool          `msgpack:"d,omitempty"`
	ConfigSeen  uint64        `msgpack:"v"`
	PressurePct uint8         `msgpack:"p,omitempty"` // measured slowdown of checks by batch
}

// ServiceLoad is the load of one service at one agent.
type ServiceLoad struct {
	Service string `msgpack:"s" json:"service"`
	Slots   int    `msgpack:"n" json:"slots"`
	Busy    int    `msgpack:"b" json:"busy"`
	Queued  int    `msgpack:"q" json:"queued"`
	// ServiceTimeUs is the smoothed time that a check holds a slot; 0 while the
	// target has answered nothing.
	ServiceTimeUs int64 `msgpack:"t" json:"service_time_us"`
}

// EntryInfo is one entry.
type EntryInfo struct {
	ID       string   `msgpack:"i" json:"id"`
	Address  string   `msgpack:"a" json:"address"`
	Location Location `msgpack:"l" json:"location"`
	// StartedMs tells incarnations of one entry apart.
	StartedMs int64 `msgpack:"t" json:"started_ms"`
}

// Check asks an agent to run one check on its target.
type Check struct {
	Request        string `msgpack:"i"`
	Profile        string `msgpack:"p"`
	ProfileVersion uint64 `msgpack:"pv"`
	Service        string `msgpack:"s"`
	Franchisee     string `msgpack:"f"`
	Team           string `msgpack:"t,omitempty"`
	RemainingMs    int64  `msgpack:"r"`
	Attempt        uint8  `msgpack:"a"`
	Idempotent     bool   `msgpack:"id"`
	Weight         uint16 `msgpack:"w"`
	Body           []byte `msgpack:"b"`
}

// CheckReply carries the whole answer of the target.
type CheckReply struct {
	Request string      `msgpack:"i"`
	Body    []byte      `msgpack:"b"`
	Load    ServiceLoad `msgpack:"l"`
}

// Query settles a check whose connection went silent.
type Query struct {
	Request string `msgpack:"i"`
	Attempt uint8  `msgpack:"a"`
}

// QueryState is what an agent knows of a request.
type QueryState uint8

// The answers to a Query.
const (
	QueryNotRun  QueryState = 1 // unknown until now; a tombstone refuses it from now on
	QueryPending QueryState = 2
	QueryDone    QueryState = 3
)

// QueryReply answers a Query.
type QueryReply struct {
	State QueryState     `msgpack:"s"`
	Reply *CheckReply    `msgpack:"r,omitempty"`
	Error *outcome.Error `msgpack:"e,omitempty"`
}

// Config pushes configuration: deltas that follow From, or a whole document.
type Config struct {
	From     uint64            `msgpack:"f"`
	Deltas   []profile.Delta   `msgpack:"d,omitempty"`
	Document *profile.Document `msgpack:"o,omitempty"`
}

// ConfigAck states the version in force at the receiver.
type ConfigAck struct {
	Version uint64 `msgpack:"v"`
}

// ConfigPull asks a peer for what it has beyond Version.
type ConfigPull struct {
	Version uint64 `msgpack:"v"`
}

// TimelineReply carries the events of one process.
type TimelineReply struct {
	Records []timeline.Record `msgpack:"r"`
}
