package integration

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/standin/target"
)

// clientTimeout is longer than any deadline of a profile, so that a test sees
// an answer that comes late.
const clientTimeout = 20 * time.Second

// call is one request of a caller and what came back.
type call struct {
	Entry      int
	Profile    string
	Franchisee string
	Key        string
	Idempotent bool
	DeadlineMs string
	Body       string

	Begin, End time.Time
	// Lost is set when the connection ended without an answer.
	Lost      bool
	Status    int
	RequestID string
	Raw       []byte
	Answer    answer
}

// answer holds the fields of refusals, jobs and checks that tests look at.
type answer struct {
	Kind      string
	Ran       string
	Retry     bool
	Field     string
	Message   string
	RequestID string `json:"request_id"`
	// fields of jobs
	ID          string
	State       job.State
	Incarnation uint32
	Agent       string
	Checkpoint  string
	Evictions   uint32
	Result      []byte
	Reused      bool
}

// callLog is the record of all calls of a deployment's callers.
type callLog struct {
	mu    sync.Mutex // guards calls
	calls []call
	next  atomic.Int64
}

func (l *callLog) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *callLog) all() []call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]call(nil), l.calls...)
}

// distinct returns a name that no other call of the deployment has.
func (l *callLog) distinct(prefix string) string { return fmt.Sprintf("%s-%d", prefix, l.next.Add(1)) }

// send makes one request and records nothing.
func (d *deployment) send(entry int, c call) call {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + d.entries[entry].settings.HTTP.Listen + "/v1/requests")
	for name, value := range map[string]string{
		"Camphorhead-Profile": c.Profile, "Camphorhead-Franchisee": c.Franchisee, "Camphorhead-Request-Key": c.Key,
		"Camphorhead-Deadline-Ms": c.DeadlineMs, "Camphorhead-Idempotent": fmt.Sprint(c.Idempotent),
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	req.SetBodyString(c.Body)
	c.Entry, c.Begin = entry, time.Now()
	err := d.http.DoTimeout(req, resp, clientTimeout)
	c.End = time.Now()
	if err != nil {
		c.Lost = true
		return c
	}
	c.Status = resp.StatusCode()
	c.RequestID = string(resp.Header.Peek("Camphorhead-Request-Id"))
	c.Raw = append([]byte(nil), resp.Body()...)
	_ = json.Unmarshal(c.Raw, &c.Answer) // the answer of a check has other fields
	return c
}

// record makes one request and enters it into the history.
func (d *deployment) record(entry int, c call) call {
	c = d.send(entry, c)
	d.calls.add(c)
	return c
}

// check sends a check. Names that are empty are made distinct, so that the
// checker finds the executions of a non-idempotent check by its franchisee.
func (d *deployment) check(entry int, c call) call {
	if c.Profile == "" {
		c.Profile = "fast-check"
	}
	if c.Franchisee == "" {
		c.Franchisee = d.calls.distinct("caller")
	}
	if c.Key == "" && !c.Idempotent {
		c.Key = d.calls.distinct("key")
	}
	if c.Body == "" {
		c.Body = bodyFor(2*time.Millisecond, c.Franchisee)
	}
	return d.record(entry, c)
}

// jobCaller is the franchisee of all jobs.
const jobCaller = "office"

// submit sends a proof or watch that takes the given time.
func (d *deployment) submit(entry int, profile string, takes time.Duration) call {
	key := d.calls.distinct("job")
	return d.record(entry, call{Profile: profile, Franchisee: jobCaller, Key: key, Body: bodyFor(takes, key)})
}

// accepted submits a job and repeats it under its key until it is accepted. A
// refusal while shards change hands must say that it may be repeated.
func (d *deployment) accepted(entry int, profile string, takes time.Duration) call {
	d.t.Helper()
	c := d.submit(entry, profile, takes)
	d.eventually(settleBound, "a job is accepted", func() bool {
		if c.Status != fasthttp.StatusAccepted {
			require.True(d.t, c.Lost || c.Answer.Retry, "%s", c.Raw)
			c = d.again(entry, c)
		}
		return c.Status == fasthttp.StatusAccepted
	})
	require.Equal(d.t, job.ID(c.Franchisee, c.Key), c.Answer.ID)
	return c
}

// again sends the same request once more.
func (d *deployment) again(entry int, c call) call {
	return d.record(entry, call{
		Profile: c.Profile, Franchisee: c.Franchisee, Key: c.Key, Body: c.Body, Idempotent: c.Idempotent,
	})
}

// lookup asks an entry for a job.
func (d *deployment) lookup(entry int, id, franchisee string, wait time.Duration) (answer, int) {
	return d.jobCall(fasthttp.MethodGet, entry, fmt.Sprintf("%s?wait_ms=%d", id, wait.Milliseconds()), franchisee)
}

func (d *deployment) cancel(entry int, id, franchisee string) (answer, int) {
	return d.jobCall(fasthttp.MethodDelete, entry, id, franchisee)
}

// jobCall returns the answer and the status, which is 0 without an answer.
func (d *deployment) jobCall(method string, entry int, path, franchisee string) (answer, int) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + d.entries[entry].settings.HTTP.Listen + "/v1/jobs/" + path)
	req.Header.Set("Camphorhead-Franchisee", franchisee)
	var a answer
	if d.http.DoTimeout(req, resp, clientTimeout) != nil || json.Unmarshal(resp.Body(), &a) != nil {
		return answer{}, 0
	}
	return a, resp.StatusCode()
}

// awaitState waits until an entry shows a job in the wanted state.
func (d *deployment) awaitState(entry int, c call, want job.State, bound time.Duration) answer {
	d.t.Helper()
	var last answer
	id := job.ID(c.Franchisee, c.Key)
	defer func() {
		if last.State != want {
			d.t.Logf("job %s was last seen as %+v, its runs are %+v", id, last, d.readHistory().runs[id])
		}
	}()
	d.eventually(bound, fmt.Sprintf("job %s is %s", id, want), func() bool {
		a, status := d.lookup(entry, id, c.Franchisee, 0)
		if status == fasthttp.StatusOK {
			last = a
		}
		if last.State != want && last.State.Terminal() {
			require.FailNow(d.t, "job ended otherwise", "job %s is %s, not %s", id, last.State, want)
		}
		return last.State == want
	})
	return last
}

// load sends checks to the given entries until it is stopped.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

// loadInterval is the time between two checks of one caller.
const loadInterval = 10 * time.Millisecond

// startLoad runs one caller per given entry; every other check is non-idempotent.
func (d *deployment) startLoad(entries ...int) *load {
	l := &load{stop: make(chan struct{})}
	for _, entry := range entries {
		l.wg.Go(func() { d.runCaller(l, entry) })
	}
	d.t.Cleanup(l.end)
	return l
}

func (d *deployment) runCaller(l *load, entry int) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			d.check(entry, call{Idempotent: i%2 == 0})
		}
	}
}

// end stops the callers and waits for their last answers.
func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.wg.Wait()
}

// answeredSince counts the checks that an entry answered after a time.
func (d *deployment) answeredSince(entry int, since time.Time) int {
	n := 0
	for _, c := range d.calls.all() {
		if c.Entry == entry && c.Begin.After(since) && c.Status == fasthttp.StatusOK {
			n++
		}
	}
	return n
}

// awaitChecks waits until an entry answers checks again: count of them begun from now.
func (d *deployment) awaitChecks(entry, count int, bound time.Duration) {
	d.t.Helper()
	since := time.Now()
	d.eventually(bound, fmt.Sprintf("entry-%d answers %d checks", entry, count), func() bool {
		return d.answeredSince(entry, since) >= count
	})
}

func (d *deployment) executions(h *host) map[string][]target.Execution {
	var executions map[string][]target.Execution
	d.control(h.config, "executions", "", &executions)
	return executions
}
