// Package message defines the typed messages between camphorhead's processes.
//
// The types have no behaviour. Package peer encodes them as msgpack arrays, so the
// order of their fields is the wire format; stored types, such as EntryInfo, are maps
// with msgpack names. Arrays and short names keep control traffic within its budget.
package message

import (
	"time"

	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// Kind numbers the message types on the wire. Numbers are never reused.
type Kind = uint8

// The message kinds of every process; those that concern the leader are in runs.go.
const (
	KindReply      Kind = 1  // successful reply to a call
	KindError      Kind = 2  // failed reply to a call; body is outcome.Error
	KindHello      Kind = 3  // part of the handshake of a connection
	KindPing       Kind = 4  // replied to with an empty Ping
	KindCheck      Kind = 6  // entry → agent; reply is CheckReply
	KindQuery      Kind = 10 // entry → agent; reply is QueryReply
	KindConfig     Kind = 13 // pushes configuration; reply is ConfigAck
	KindTimeline   Kind = 17 // asks for events; reply is TimelineReply
	KindConfigPull Kind = 18 // asks for configuration; reply is Config
)

// Role is the role of a process in the deployment.
type Role string

// The roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Location is where a process runs.
type Location struct {
	Region string `msgpack:"r" json:"region"`
	Domain string `msgpack:"d" json:"failure_domain"`
	Rack   string `msgpack:"k,omitempty" json:"rack,omitempty"`
}

// Hello is a message of a connection's handshake, in which each side describes
// itself and proves that it has the process key.
type Hello struct {
	ID            string   `msgpack:"i"`
	Role          Role     `msgpack:"o"`
	Address       string   `msgpack:"a"` // where the process accepts connections
	Location      Location `msgpack:"l"`
	ConfigVersion uint64   `msgpack:"v"` // in force at the process
	Nonce         []byte   `msgpack:"n,omitempty"`
	MAC           []byte   `msgpack:"p,omitempty"` // authenticates both nonces and ID
}

// Ping tests whether the other side of an idle connection still responds.
type Ping struct {
	SentMs int64 `msgpack:"t"` // the sender's unix time in milliseconds; 0 in the reply
}

// Summary is the compact state of one agent and its worker as last reported.
type Summary struct {
	Agent   string `msgpack:"i"`
	Address string `msgpack:"a,omitempty"`
	// Session and Sequence are those of the report that carried the summary.
	Session  uint64   `msgpack:"s"`
	Sequence uint64   `msgpack:"q"`
	Location Location `msgpack:"l"`
	// Capacity is the size of the worker, Free what its agent would still admit.
	Capacity      resources.Resources `msgpack:"c"`
	Free          resources.Resources `msgpack:"f"`
	Services      []ServiceLoad       `msgpack:"sv,omitempty"` // of the targets on the agent's host
	Tasks         int                 `msgpack:"n"`
	Draining      bool                `msgpack:"d,omitempty"`
	ConfigVersion uint64              `msgpack:"v"`           // in force at the agent
	PressurePct   uint8               `msgpack:"p,omitempty"` // measured slowdown of checks by batch tasks, in percent
}

// ServiceLoad is the load of one service's target at one agent.
type ServiceLoad struct {
	Service string `msgpack:"s" json:"service"`
	Slots   int    `msgpack:"n" json:"slots"` // checks that the target serves concurrently
	Busy    int    `msgpack:"b" json:"busy"`
	Queued  int    `msgpack:"q" json:"queued"`
	// ServiceTimeUs is the smoothed time that a check occupies a slot, in
	// microseconds; 0 until the target has completed a check.
	ServiceTimeUs int64 `msgpack:"t" json:"service_time_us"`
}

// EntryInfo identifies one process in the role of an entry.
type EntryInfo struct {
	ID       string   `msgpack:"i" json:"id"`
	Address  string   `msgpack:"a" json:"address"`
	Location Location `msgpack:"l" json:"location"`
	// StartedMs is the unix time in milliseconds at which the process started; it
	// distinguishes the instances of an entry that restarts.
	StartedMs int64 `msgpack:"t" json:"started_ms"`
}

// Check requests an agent to run one check on its target.
type Check struct {
	Request        string `msgpack:"i"` // ID of the request, the same in all attempts
	Profile        string `msgpack:"p"`
	ProfileVersion uint64 `msgpack:"pv"`
	Service        string `msgpack:"s"`
	Franchisee     string `msgpack:"f"`
	Team           string `msgpack:"t,omitempty"`
	RemainingMs    int64  `msgpack:"r"` // time from sending to the deadline
	Attempt        uint8  `msgpack:"a"`
	Idempotent     bool   `msgpack:"id"`
	Weight         uint16 `msgpack:"w"` // of the franchisee in fair queueing
	Body           []byte `msgpack:"b"`
}

// CheckReply carries the target's complete response and its load.
type CheckReply struct {
	Request string      `msgpack:"i"`
	Body    []byte      `msgpack:"b"`
	Load    ServiceLoad `msgpack:"l"`
}

// Query asks an agent for the outcome of a check whose connection was lost.
type Query struct {
	Request string `msgpack:"i"`
	Attempt uint8  `msgpack:"a"`
	// SentAgoMs is how long ago the check was sent, by the entry's clock.
	SentAgoMs int64 `msgpack:"t,omitempty"`
}

// QueryState is the state of a check at an agent.
type QueryState uint8

// The states of a check.
const (
	QueryNotRun  QueryState = 1 // was not received; a tombstone refuses it from now on
	QueryPending QueryState = 2 // queued or running
	QueryDone    QueryState = 3 // has ended with a reply or an error
	// QueryUnknown: an earlier process of the agent may have received the check. It is refused from
	// now on, but may have run.
	QueryUnknown QueryState = 4
)

// QueryReply is the reply to a Query. In state QueryDone, Reply or Error is set.
type QueryReply struct {
	State QueryState     `msgpack:"s"`
	Reply *CheckReply    `msgpack:"r,omitempty"`
	Error *outcome.Error `msgpack:"e,omitempty"`
}

// ConfigState tells which version of the configuration is in force at the sender. It was the newest
// one at Revision of the store, AgeMs before the message was sent. Revision 0: the store has not
// confirmed this version to the sender.
type ConfigState struct {
	Version  uint64 `msgpack:"v"`
	Revision uint64 `msgpack:"r,omitempty"`
	AgeMs    int64  `msgpack:"a,omitempty"`
}

// Age returns AgeMs as a duration.
func (s ConfigState) Age() time.Duration { return time.Duration(s.AgeMs) * time.Millisecond }

// Config carries configuration: the deltas that follow version From, or a page of the changes.
type Config struct {
	From   uint64          `msgpack:"f"`
	Deltas []profile.Delta `msgpack:"d,omitempty"`
	Page   []byte          `msgpack:"p,omitempty"` // a profile.Page, as package configpeer encodes it
	State  ConfigState     `msgpack:"s"`           // at the sender
}

// ConfigAck is the reply to KindConfig: the version now in force at the receiver.
type ConfigAck struct {
	Version uint64 `msgpack:"v"`
}

// ConfigPull asks an entry for the configuration that follows Version: deltas, or the page after a
// position.
type ConfigPull struct {
	Version uint64         `msgpack:"v"`
	After   profile.Cursor `msgpack:"c"`
}

// TimelineReply carries the recorded events of one process.
type TimelineReply struct {
	Records []timeline.Record `msgpack:"r"`
}
