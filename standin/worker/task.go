package worker

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// never is the remaining time of a task with throttle 0: longer than any test.
const never = time.Duration(math.MaxInt64 / 4)

// task is one run of a task on this worker. The worker's lock guards it.
type task struct {
	req        platform.RunRequest
	behaviour  TaskBehaviour
	ended      bool
	throttle   int           // percent of full speed
	progress   time.Duration // work done until asOf
	asOf       time.Time
	started    time.Time
	savedAt    time.Time // time of the last checkpoint
	leaseEnd   time.Time
	checkpoint string
	result     []byte
	usage      []usagePoint
	record     *Record
}

// usagePoint is the real use from the time at until the next point.
type usagePoint struct {
	at  time.Time
	use resources.Resources
}

func newTask(req platform.RunRequest, behaviour TaskBehaviour, progress time.Duration, now, leaseEnd time.Time) *task {
	t := &task{
		req: req, behaviour: behaviour, throttle: 100,
		progress: progress, asOf: now, started: now, savedAt: now, leaseEnd: leaseEnd, checkpoint: req.Checkpoint,
		record: &Record{
			ID: req.Task.Job, Task: req.Task.String(), Incarnation: req.Run, Lasts: req.LongRunning, Profile: req.Profile, Start: now,
			Outcome: OutcomeRunning, Declared: req.Need, Real: behaviour.Real, ResumedAt: progress,
		},
	}
	t.recordUsage(now)
	return t
}

// advance adds the work done since asOf to progress. now must not be before asOf.
func (t *task) advance(now time.Time) {
	t.progress += now.Sub(t.asOf) * time.Duration(t.throttle) / 100
	t.asOf = now
}

func (t *task) key() job.RunKey { return t.req.RunKey }

func (t *task) isComplete() bool { return !t.req.LongRunning && t.progress >= t.behaviour.Duration }

func (t *task) isFailing(now time.Time) bool {
	return t.behaviour.FailAfter > 0 && now.Sub(t.started) >= t.behaviour.FailAfter
}

func (t *task) isCheckpointDue(now time.Time) bool {
	return t.behaviour.CheckpointInterval > 0 && now.Sub(t.savedAt) >= t.behaviour.CheckpointInterval
}

// nextEvent returns the time of the task's next event.
func (t *task) nextEvent() time.Time {
	at := t.leaseEnd
	if t.behaviour.FailAfter > 0 {
		at = earlier(at, t.started.Add(t.behaviour.FailAfter))
	}
	if t.behaviour.CheckpointInterval > 0 {
		at = earlier(at, t.savedAt.Add(t.behaviour.CheckpointInterval))
	}
	if !t.req.LongRunning {
		at = earlier(at, t.asOf.Add(t.remaining()))
	}
	return at
}

// remaining returns the time for the rest of the work at the current throttle, rounded up.
func (t *task) remaining() time.Duration {
	if t.throttle == 0 {
		return never
	}
	work := max(t.behaviour.Duration-t.progress, 0)
	percent := time.Duration(t.throttle)
	return (work*100 + percent - 1) / percent
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// saveCheckpoint takes a checkpoint of a task that was advanced to now.
func (t *task) saveCheckpoint(now time.Time) {
	t.savedAt = now
	t.checkpoint = checkpointName(t.req.Task.Job, t.req.Run, t.progress)
}

// setThrottle changes the speed of a task that was advanced to now.
func (t *task) setThrottle(now time.Time, percent int) {
	t.throttle = percent
	t.recordUsage(now)
}

func (t *task) finish(now time.Time, outcome Outcome) {
	t.advance(now)
	t.ended = true
	t.recordUsage(now)
	t.record.End = now
	t.record.Outcome = outcome
	t.record.Progress = t.progress
	t.record.Checkpoint = t.checkpoint
}

// recordUsage appends the use from now on to the series that usageAt reads.
func (t *task) recordUsage(now time.Time) {
	use := resources.Resources{}
	if !t.ended {
		use = t.behaviour.Real
		use.MilliCPU = use.MilliCPU * int64(t.throttle) / 100
	}
	t.usage = append(t.usage, usagePoint{now, use})
}

// usageAt returns the use at a time and drops older points, so times must not decrease.
func (t *task) usageAt(at time.Time) resources.Resources {
	for len(t.usage) > 1 && !t.usage[1].at.After(at) {
		t.usage = t.usage[1:]
	}
	if t.usage[0].at.After(at) {
		return resources.Resources{}
	}
	return t.usage[0].use
}

// listed returns the task for a listing, with the usage measured at a time.
func (t *task) listed(measured time.Time) platform.RunningTask {
	return platform.RunningTask{
		RunKey: t.key(), Usage: t.usageAt(measured), Checkpoint: t.checkpoint, ProgressPct: t.progressPct(),
	}
}

func (t *task) progressPct() int {
	if t.req.LongRunning || t.behaviour.Duration <= 0 {
		return 100
	}
	return int(min(100*float64(t.progress)/float64(t.behaviour.Duration), 100))
}

// checkpointName encodes all of a checkpoint, so that any worker can resume from it.
func checkpointName(id string, run uint32, progress time.Duration) string {
	return fmt.Sprintf("%s/%d/%d", id, run, progress.Microseconds())
}

// ParseCheckpoint decodes the name of a checkpoint:
// <job ID>/<number of the run>/<progress in microseconds>.
func ParseCheckpoint(name string) (id string, run uint32, progress time.Duration, err error) {
	rest, micros, ok := cutLast(name)
	id, number, ok2 := cutLast(rest)
	n, err1 := strconv.ParseUint(number, 10, 32)
	us, err2 := strconv.ParseInt(micros, 10, 64)
	if !ok || !ok2 || err1 != nil || err2 != nil || us < 0 {
		return "", 0, 0, errs.New("worker: malformed checkpoint name %q", name)
	}
	return id, uint32(n), time.Duration(us) * time.Microsecond, nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// Result is the result of a task that is done, as JSON in platform.EndedTask.Result.
type Result struct {
	ID         string `json:"id"`
	Franchisee string `json:"franchisee"`
	Digest     string `json:"digest"` // SHA-256 of the input, in hex
}

func result(req platform.RunRequest) []byte {
	sum := sha256.Sum256(req.Input)
	body, err := json.Marshal(Result{req.Task.Job, req.Franchisee, hex.EncodeToString(sum[:])})
	if err != nil {
		return nil // not reached: a struct of strings can always be encoded
	}
	return body
}
