// Package api defines the JSON response bodies of an entry's HTTP interfaces
// for callers and operators. docs/api.md lists the calls.
package api

import (
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// ErrorResponse is the body of every unsuccessful response.
type ErrorResponse struct {
	Kind      outcome.Kind `json:"kind"`
	Ran       outcome.Ran  `json:"ran"`             // whether the work of the request was executed
	Retry     bool         `json:"retry"`           // whether the caller may send the same request again
	Field     string       `json:"field,omitempty"` // the invalid field of the request, if any
	Message   string       `json:"message"`
	RequestID string       `json:"request_id,omitempty"`
}

// Change is the response to an accepted configuration change or to its dry run.
type Change struct {
	Version uint64        `json:"version"` // configuration version that results from the change
	DryRun  bool          `json:"dry_run,omitempty"`
	Delta   profile.Delta `json:"delta"`
}

// Stop is a planned stop with its progress.
type Stop struct {
	profile.Stop
	// Covered counts the agents and registered entries that the stop covers,
	// Draining those agents that have it in force and refuse new work.
	Covered  int `json:"covered"`
	Draining int `json:"draining"`
	// Tasks and Busy count the tasks and the checks, running or queued, left on them.
	Tasks int `json:"tasks"`
	Busy  int `json:"busy"`
	// Complete is set once all covered agents drain, no covered entry is
	// registered, and no checks are left, nor tasks unless the scope is a target.
	// A stop that covers nothing is complete only if its scope is an entry.
	Complete bool `json:"complete"`
}

// Evacuation is a failure domain that operators have emptied. InForce is set if the leader orders
// no runs at its workers.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
	InForce       bool   `json:"in_force"`
}

// Status is the state of the deployment as seen by one entry.
type Status struct {
	Entry         string `json:"entry"`
	Region        string `json:"region"`
	ConfigVersion uint64 `json:"config_version"`
	// ConfigAgeMs is the time since the store last confirmed ConfigVersion as the
	// newest; -1 if it never did in this process.
	ConfigAgeMs int64 `json:"config_age_ms"`
	Leads       bool  `json:"leads"`
	// Term is the newest term known to the entry, Leader the address of its
	// leader; empty if that leader is unknown or no longer leads.
	Term                uint64              `json:"term"`
	Leader              string              `json:"leader"`
	Serving             bool                `json:"serving"`    // whether there is a leader that has loaded all jobs
	StoreDown           bool                `json:"store_down"` // the store does not respond to this entry
	WaitingJobs         int                 `json:"waiting_jobs"`
	Entries             []message.EntryInfo `json:"entries"`               // the leader and its followers that do not drain
	Agents              []Agent             `json:"agents"`                // sorted by ID
	LowestConfigVersion uint64              `json:"lowest_config_version"` // among this entry and the agents
	// Frame traffic since the start of this process.
	FrameBytesSent     int64 `json:"frame_bytes_sent"`
	FrameBytesReceived int64 `json:"frame_bytes_received"`
}

// Agent is the state of one agent and its worker as last reported to the entry.
type Agent struct {
	Agent         string                `json:"agent"`
	Region        string                `json:"region"`
	FailureDomain string                `json:"failure_domain"`
	Rack          string                `json:"rack"`
	Capacity      resources.Resources   `json:"capacity"`
	Free          resources.Resources   `json:"free"` // what the agent would still admit
	Tasks         int                   `json:"tasks"`
	Draining      bool                  `json:"draining"`
	ConfigVersion uint64                `json:"config_version"`
	Services      []message.ServiceLoad `json:"services"`
}

// Timeline holds the merged events of several processes, oldest first. Missing
// lists the processes that did not respond.
type Timeline struct {
	Records []timeline.Record `json:"records"`
	Missing []string          `json:"missing,omitempty"`
}
