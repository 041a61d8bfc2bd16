// Package caller is a stand-in of the platform's callers and of its operator: it
// submits, asks for and cancels jobs, and writes the configuration.
package caller

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Step is a step of a job.
type Step struct {
	Count      int   `json:"count"`
	MilliCPU   int64 `json:"cpu"`
	MemoryMB   int64 `json:"mem_mb"`
	EstimateMs int64 `json:"estimate_ms"`
	After      []int `json:"after,omitempty"`
	Checkpoint bool  `json:"checkpointing,omitempty"`
	Lasts      bool  `json:"long_running,omitempty"`
	Spread     int   `json:"anti_affinity,omitempty"`
}

// Job is a job; the input of each task is Input.
type Job struct {
	Input   string `json:"task_spec"`
	Steps   []Step `json:"steps"`
	Repeat  int    `json:"repeat_count,omitempty"`
	FirstMs int64  `json:"start_at_ms,omitempty"`
	EveryMs int64  `json:"interval_ms,omitempty"`
}

// Route is a queue.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	TimeoutMs   int64   `json:"timeout_ms"`
	ObjectiveMs int64   `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
}

// Caller calls an entry.
type Caller struct {
	HTTP *fasthttp.Client
	// Route is the queue that is used.
	Route Route
	// Wait is how long an answer may take.
	Wait time.Duration
}

// Submit hands a job in. accepted says that it was; never that the answer promises
// that it will not run. Neither: it may.
func (c *Caller) Submit(entry, id string, j Job) (accepted, never bool, err error) {
	body, err := json.Marshal(j)
	if err != nil {
		return false, false, errs.Wrap(err)
	}
	status, _, err := c.call(fasthttp.MethodPost, entry, id, body)
	never = status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	return status/100 == 2, never, err
}

// State returns the state of a job; gone says that there is no such job.
func (c *Caller) State(entry, id string) (state string, gone bool, err error) {
	status, body, err := c.call(fasthttp.MethodGet, entry, id, nil)
	if err != nil || status != fasthttp.StatusOK {
		return "", status == fasthttp.StatusGone, err
	}
	var answer struct {
		State string `json:"state"`
	}
	return answer.State, false, errs.Wrap(json.Unmarshal(body, &answer))
}

// Cancel cancels a job; acknowledged says that it is recorded.
func (c *Caller) Cancel(entry, id string) (acknowledged bool, err error) {
	status, _, err := c.call(fasthttp.MethodDelete, entry, id, nil)
	return status/100 == 2, err
}

func (c *Caller) call(method, entry, id string, body []byte) (status int, answer []byte, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + c.Route.Prefix + id)
	req.UseHostHeader = true
	req.Header.SetHost(c.Route.Host)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if err := c.HTTP.DoTimeout(req, resp, c.Wait); err != nil {
		return 0, nil, errs.Wrap(err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// ConfigurationKey is the key of the operator's configuration in the store.
const ConfigurationKey = "op/config"

// Configuration returns the value that the operator writes for some queues.
func Configuration(version uint64, routes ...Route) ([]byte, error) {
	type service struct {
		Name string `json:"name"`
	}
	services := map[string]bool{}
	list := []service{}
	for _, r := range routes {
		if !services[r.Service] {
			services[r.Service] = true
			list = append(list, service{r.Service})
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list, "limits": map[string]int64{"body_bytes": 1 << 18},
	})
	return value, errs.Wrap(err)
}
