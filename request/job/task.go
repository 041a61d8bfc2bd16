package job

import (
	"strconv"
	"strings"

	"camphorhead.example/camphorhead/request/resources"
)

// TaskID names one task: the index-th task of a step in one occurrence of a job.
type TaskID struct {
	Job        string `json:"job"`
	Occurrence int    `json:"occurrence,omitempty"`
	Step       int    `json:"step,omitempty"`
	Index      int    `json:"index,omitempty"`
}

// String returns the form that workers use: the four parts, joined by dots.
func (t TaskID) String() string {
	buf := make([]byte, 0, len(t.Job)+12)
	buf = append(buf, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		buf = append(buf, '.')
		buf = strconv.AppendInt(buf, int64(n), 10)
	}
	return string(buf)
}

// ParseTaskID reads the form that String returns.
func ParseTaskID(s string) (TaskID, bool) {
	var numbers [3]int
	rest := s
	for i := len(numbers) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			return TaskID{}, false
		}
		n, err := strconv.Atoi(rest[dot+1:])
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		numbers[i], rest = n, rest[:dot]
	}
	if rest == "" {
		return TaskID{}, false
	}
	return TaskID{Job: rest, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count int                 `msgpack:"n"`
	Need  resources.Resources `msgpack:"r"`
	// EstimateMs is the submitter's guess of one task's run time.
	EstimateMs int64 `msgpack:"e,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `msgpack:"a,omitempty"`
	// Checkpoints says that the tasks save their progress.
	Checkpoints bool `msgpack:"c,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack tasks are slower when they run on several racks.
	SameRack bool `msgpack:"sr,omitempty"`
	// Label must be among the labels of the worker; empty: any worker.
	Label string `msgpack:"l,omitempty"`
	// Rack is where the data lies; tasks are slower on other racks. Empty: anywhere.
	Rack string `msgpack:"k,omitempty"`
	// Spread is the largest number of the step's tasks on one worker; 0: no limit.
	Spread int `msgpack:"s,omitempty"`
	// Speculative tasks may run as several copies; the first that is done counts.
	Speculative bool `msgpack:"sp,omitempty"`
	// Lasts marks tasks that run until the job is cancelled.
	Lasts bool `msgpack:"la,omitempty"`
	// Image identifies what the tasks run; tasks of one image behave alike.
	Image string `msgpack:"im,omitempty"`
	// TargetMs is the bound of the tail latency of tasks that serve users; 0: none.
	TargetMs int64 `msgpack:"t,omitempty"`
	// Fills marks tasks that run on processors that other tasks leave idle;
	// their processors are not counted against the worker.
	Fills bool `msgpack:"f,omitempty"`
	// MaxUnavailable bounds how many tasks of a lasting step may be away at a
	// time through our own orders; 0: no bound.
	MaxUnavailable int `msgpack:"mu,omitempty"`
}

// Charge is what one task of the step takes from its worker's room.
func (s *Step) Charge() resources.Resources {
	need := s.Need
	if s.Fills {
		need.MilliCPU = 0
	}
	return need
}

// Definition is what a caller submits: the steps, and how often they run.
type Definition struct {
	ID string `msgpack:"i"`
	// Profile is the name of the profile, or of the queue, that the job uses.
	Profile string `msgpack:"p"`
	Input   []byte `msgpack:"in,omitempty"`
	Steps   []Step `msgpack:"s"`
	// Occurrences is how often the steps run; 0 means once, at once.
	Occurrences int   `msgpack:"o,omitempty"`
	FirstMs     int64 `msgpack:"f,omitempty"`
	EveryMs     int64 `msgpack:"e,omitempty"`
	AcceptedMs  int64 `msgpack:"a"`
	// Request is what a caller of camphorhead's own interface asked for; nil for
	// jobs that name their steps.
	Request *Request `msgpack:"q,omitempty"`
	// Service, Priority and MaxAttempts are those of the profile at the time of
	// acceptance; they hold on when the profile is removed.
	Service     string `msgpack:"sv,omitempty"`
	Priority    int    `msgpack:"pr,omitempty"`
	MaxAttempts int    `msgpack:"ma,omitempty"`
}

// Runs returns how many occurrences the job has.
func (d *Definition) Runs() int { return max(d.Occurrences, 1) }

// DueMs returns the unix time at which an occurrence is due; 0: at once.
func (d *Definition) DueMs(occurrence int) int64 {
	if d.Occurrences == 0 {
		return 0
	}
	return d.FirstMs + int64(occurrence)*d.EveryMs
}

// Request is what a caller of camphorhead's own interface asked for beyond the
// one task of its job.
type Request struct {
	Key            string `msgpack:"k"`
	Franchisee     string `msgpack:"f"`
	Team           string `msgpack:"t,omitempty"`
	ProfileVersion uint64 `msgpack:"v"`
	Kind           Kind   `msgpack:"d"`
	Idempotent     bool   `msgpack:"i,omitempty"`
	Urgent         bool   `msgpack:"u,omitempty"`
	MaxEvictions   uint32 `msgpack:"e,omitempty"`
	// Region is that of the entry that accepted the request.
	Region string `msgpack:"r,omitempty"`
	// InputHash tells whether a repeated key comes with the same input.
	InputHash string `msgpack:"h"`
}

// Record returns the record of a job with a request, before it has begun.
func (d *Definition) Record() Record {
	r := d.Request
	return Record{
		ID: d.ID, Key: r.Key, Franchisee: r.Franchisee, Team: r.Team, Profile: d.Profile,
		ProfileVersion: r.ProfileVersion, Kind: r.Kind, Idempotent: r.Idempotent, Urgent: r.Urgent,
		Resources: d.Steps[0].Need, MaxEvictions: r.MaxEvictions, Region: r.Region, InputHash: r.InputHash,
		State: Accepted, AcceptedMs: d.AcceptedMs,
	}
}
