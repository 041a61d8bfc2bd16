// Package caller is a stand-in of the platform's callers and of its operator: it
// submits, queries and cancels jobs, and encodes the operator's configuration.
package caller

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Step is a step of a job. After lists the indices of steps that must be done before it.
type Step struct {
	Count         int   `json:"count"`
	MilliCPU      int64 `json:"cpu"`
	MemoryMB      int64 `json:"mem_mb"`
	EstimateMs    int64 `json:"estimate_ms"`
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	LongRunning   bool  `json:"long_running,omitempty"`
	Spread        int   `json:"anti_affinity,omitempty"`
}

// Job is the body of a submission; Input is the input of every task.
type Job struct {
	Input       string `json:"task_spec"`
	Steps       []Step `json:"steps"`
	RepeatCount int    `json:"repeat_count,omitempty"`
	StartAtMs   int64  `json:"start_at_ms,omitempty"`
	IntervalMs  int64  `json:"interval_ms,omitempty"`
}

// Route is a queue of jobs in the operator's configuration. Host and Prefix select it.
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

// Caller calls the jobs servers of entries.
type Caller struct {
	HTTP *fasthttp.Client
	// Route is the queue of all jobs.
	Route Route
	// Timeout bounds each call.
	Timeout time.Duration
}

// Submit submits a job once. refused is set if the response (429 or 503) promises that the
// job will not run. If neither result is set, it may run.
func (c *Caller) Submit(entry, id string, j Job) (accepted, refused bool, err error) {
	body, err := json.Marshal(j)
	if err != nil {
		return false, false, errs.Wrap(err)
	}
	status, _, err := c.call(fasthttp.MethodPost, entry, id, body)
	refused = status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	return status/100 == 2, refused, err
}

// State returns the state of a job, empty unless the status is 200; absent: no such job (410).
func (c *Caller) State(entry, id string) (state string, absent bool, err error) {
	status, body, err := c.call(fasthttp.MethodGet, entry, id, nil)
	if err != nil || status != fasthttp.StatusOK {
		return "", status == fasthttp.StatusGone, err
	}
	var response struct {
		State string `json:"state"`
	}
	return response.State, false, errs.Wrap(json.Unmarshal(body, &response))
}

// Cancel cancels a job. acknowledged is set if the entry has recorded the cancellation.
func (c *Caller) Cancel(entry, id string) (acknowledged bool, err error) {
	status, err := c.Delete(entry, id)
	return status/100 == 2, err
}

// Delete cancels a job and returns the HTTP status of the response.
func (c *Caller) Delete(entry, id string) (status int, err error) {
	status, _, err = c.call(fasthttp.MethodDelete, entry, id, nil)
	return status, err
}

func (c *Caller) call(method, entry, id string, body []byte) (status int, response []byte, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + c.Route.Prefix + id)
	req.UseHostHeader = true
	req.Header.SetHost(c.Route.Host)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if err := c.HTTP.DoTimeout(req, resp, c.Timeout); err != nil {
		return 0, nil, errs.Wrap(err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// ConfigurationKey is the key of the operator's configuration in the store.
const ConfigurationKey = "op/config"

// Configuration returns the operator's value of ConfigurationKey for the given queues.
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
