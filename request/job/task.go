package job

import (
	"strconv"
	"strings"

	"camphorhead.example/camphorhead/request/resources"
)

// TaskID identifies one task: the Index-th task of a step in one occurrence of a job,
// all counted from 0.
type TaskID struct {
	Job        string `json:"job"`
	Occurrence int    `json:"occurrence,omitempty"`
	Step       int    `json:"step,omitempty"`
	Index      int    `json:"index,omitempty"`
}

// String returns the form that workers use: the four parts joined by dots.
func (t TaskID) String() string {
	buf := make([]byte, 0, len(t.Job)+12)
	buf = append(buf, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		buf = append(buf, '.')
		buf = strconv.AppendInt(buf, int64(n), 10)
	}
	return string(buf)
}

// ParseTaskID parses the form that String returns. It reports false for a string that is
// not a job id followed by three non-negative numbers.
func ParseTaskID(s string) (TaskID, bool) {
	var numbers [3]int
	remaining := s
	for i := len(numbers) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(remaining, '.')
		if dot < 0 {
			return TaskID{}, false
		}
		n, err := strconv.Atoi(remaining[dot+1:])
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		numbers[i], remaining = n, remaining[:dot]
	}
	if remaining == "" {
		return TaskID{}, false
	}
	return TaskID{Job: remaining, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count int                 `msgpack:"n"`
	Need  resources.Resources `msgpack:"r"` // of one task
	// EstimateMs is the run time of one task as the submitter estimates it.
	EstimateMs int64 `msgpack:"e,omitempty"`
	// After lists the indices of earlier steps whose tasks must all be done first.
	After []int `msgpack:"a,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `msgpack:"c,omitempty"`
	// Gang is set if the tasks make progress only while all of them run.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack is set if the tasks are slower when they run on several racks.
	SameRack bool `msgpack:"sr,omitempty"`
	// Label is a label that the worker must have; empty for any worker.
	Label string `msgpack:"l,omitempty"`
	// Rack is where the input data is; tasks are slower on other racks. Empty for any.
	Rack string `msgpack:"k,omitempty"`
	// Spread is the largest number of the step's tasks on one worker; 0 for no limit.
	Spread int `msgpack:"s,omitempty"`
	// Speculative is set if a task may run in several copies; the first one done counts.
	Speculative bool `msgpack:"sp,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `msgpack:"la,omitempty"`
	// Image identifies the program; tasks of one image are assumed to behave alike.
	Image string `msgpack:"im,omitempty"`
	// TargetMs is the upper bound of the tail latency of serving tasks; 0 for others.
	TargetMs int64 `msgpack:"t,omitempty"`
	// Fills is set for filling tasks: they run on processors that other tasks leave idle,
	// and their processors are not charged to the worker.
	Fills bool `msgpack:"f,omitempty"`
	// MaxUnavailable bounds the number of tasks of a long-running step that may be down
	// concurrently because of the leader's own orders; 0 for no bound.
	MaxUnavailable int `msgpack:"mu,omitempty"`
}

// Charge returns the part of its worker's capacity that one task of the step uses up.
func (s *Step) Charge() resources.Resources {
	need := s.Need
	if s.Fills {
		need.MilliCPU = 0
	}
	return need
}

// Definition is a submitted job: its steps, and how often they run. Times are unix
// times in milliseconds.
type Definition struct {
	ID string `msgpack:"i"`
	// Profile is the name of the profile, or of the queue, that the job uses.
	Profile string `msgpack:"p"`
	Input   []byte `msgpack:"in,omitempty"`
	Steps   []Step `msgpack:"s"`
	// Occurrences is how often the steps run: occurrence i is due at FirstMs + i*IntervalMs.
	// 0 means a single occurrence that is due immediately.
	Occurrences int   `msgpack:"o,omitempty"`
	FirstMs     int64 `msgpack:"f,omitempty"`
	IntervalMs  int64 `msgpack:"e,omitempty"`
	AcceptedMs  int64 `msgpack:"a"`
	// Request holds the parameters of a job that was submitted through camphorhead's own
	// interface; nil for jobs whose steps were submitted.
	Request *Request `msgpack:"q,omitempty"`
	// Service, Priority and MaxAttempts are copied from the profile on acceptance, so
	// that they stay in force when the profile is removed.
	Service     string `msgpack:"sv,omitempty"`
	Priority    int    `msgpack:"pr,omitempty"`
	MaxAttempts int    `msgpack:"ma,omitempty"`
}

// OccurrenceCount returns the number of occurrences of the job, at least 1.
func (d *Definition) OccurrenceCount() int { return max(d.Occurrences, 1) }

// DueMs returns when an occurrence is due, in unix ms; 0 means immediately.
func (d *Definition) DueMs(occurrence int) int64 {
	if d.Occurrences == 0 {
		return 0
	}
	return d.FirstMs + int64(occurrence)*d.IntervalMs
}

// Request holds the parameters of a job submitted through camphorhead's own
// interface, beyond those of its one task.
type Request struct {
	Key            string `msgpack:"k"`
	Franchisee     string `msgpack:"f"`
	Team           string `msgpack:"t,omitempty"`
	ProfileVersion uint64 `msgpack:"v"`
	Kind           Kind   `msgpack:"d"`
	Idempotent     bool   `msgpack:"i,omitempty"`
	Urgent         bool   `msgpack:"u,omitempty"`
	MaxEvictions   uint32 `msgpack:"e,omitempty"`
	// Region is the region of the entry that accepted the request.
	Region string `msgpack:"r,omitempty"`
	// InputHash is compared to detect a repeated key with a different input.
	InputHash string `msgpack:"h"`
}

// Record returns the initial record of a job with a Request, in state Accepted.
func (d *Definition) Record() Record {
	r := d.Request
	return Record{
		ID: d.ID, Key: r.Key, Franchisee: r.Franchisee, Team: r.Team, Profile: d.Profile,
		ProfileVersion: r.ProfileVersion, Kind: r.Kind, Idempotent: r.Idempotent, Urgent: r.Urgent,
		Resources: d.Steps[0].Need, MaxEvictions: r.MaxEvictions, Region: r.Region, InputHash: r.InputHash,
		State: Accepted, AcceptedMs: d.AcceptedMs,
	}
}
