// Package api defines the JSON bodies of the HTTP interfaces for callers and
// operators. Entries write them and clients read them; docs/api.md lists the calls.
package api

import (
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// Refusal answers every request that is not a success.
type Refusal struct {
	Kind      outcome.Kind `json:"kind"`
	Ran       outcome.Ran  `json:"ran"`
	Retry     bool         `json:"retry"`
	Field     string       `json:"field,omitempty"`
	Message   string       `json:"message"`
	RequestID string       `json:"request_id,omitempty"`
}

// Change answers an accepted change, or a dry run of one.
type Change struct {
	Version uint64        `json:"version"`
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
	// Tasks and Busy are the tasks and checks that are left on them.
	Tasks    int  `json:"tasks"`
	Busy     int  `json:"busy"`
	Complete bool `json:"complete"`
}

// Status is what one entry knows of the deployment.
type Status struct {
	Entry         string `json:"entry"`
	Region        string `json:"region"`
	ConfigVersion uint64 `json:"config_version"`
	// ConfigAgeMs is the time since the store confirmed the version; -1 for never.
	ConfigAgeMs int64 `json:"config_age_ms"`
	// Leads says whether this entry leads the jobs; Leader is the address of the
	// one that does, in the newest term known. Serving says that it knows all jobs.
	Leads   bool   `json:"leads"`
	Term    uint64 `json:"term"`
	Leader  string `json:"leader"`
	Serving bool   `json:"serving"`
	// StoreDown says that the store does not answer this entry.
	StoreDown           bool                `json:"store_down"`
	WaitingJobs         int                 `json:"waiting_jobs"`
	Entries             []message.EntryInfo `json:"entries"`
	Agents              []Agent             `json:"agents"`
	LowestConfigVersion uint64              `json:"lowest_config_version"`
	FrameBytesSent      int64               `json:"frame_bytes_sent"`
	FrameBytesReceived  int64               `json:"frame_bytes_received"`
}

// Agent is one worker in the status.
type Agent struct {
	Agent         string                `json:"agent"`
	Region        string                `json:"region"`
	FailureDomain string                `json:"failure_domain"`
	Rack          string                `json:"rack"`
	Capacity      resources.Resources   `json:"capacity"`
	Free          resources.Resources   `json:"free"`
	Tasks         int                   `json:"tasks"`
	Draining      bool                  `json:"draining"`
	ConfigVersion uint64                `json:"config_version"`
	Services      []message.ServiceLoad `json:"services"`
}

// Timeline holds merged events, oldest first, and the processes that gave no answer.
type Timeline struct {
	Records []timeline.Record `json:"records"`
	Missing []string          `json:"missing,omitempty"`
}
