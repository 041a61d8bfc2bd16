package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// holdMaxMs is the longest lease that a worker grants (bounds.hold_max_ms).
const holdMaxMs = 6000

// heartbeat is the time between two announcements of a worker (heartbeat_ms).
const heartbeat = 1500 * time.Millisecond

type workerRun struct {
	task  string
	run   int
	ends  time.Time // when it is done; zero: it lasts
	began time.Time
}

type workerEnd struct {
	n        int
	task     string
	run      int
	how      string
	notedFor bool
}

// worker is a stand-in of a worker beside an agent. It starts whatever it is told to.
type worker struct {
	id, service, addr, zone, control string
	rec                              *record
	workMs                           func(task string) int // 0: the task lasts

	mu       sync.Mutex
	born     time.Time
	token    int64
	leaseEnd time.Time
	runs     map[string]*workerRun
	highest  map[string]int // by task: the highest run that was started, stopped or ended here
	ends     []workerEnd
	lastEnd  int
	sequence int
	changed  chan struct{}
}

func newWorker(id, service, addr, zone, control string, rec *record, workMs func(string) int) *worker {
	return &worker{id: id, service: service, addr: addr, zone: zone, control: control, rec: rec, workMs: workMs,
		born: time.Now(), runs: map[string]*workerRun{}, highest: map[string]int{}, changed: make(chan struct{})}
}

func (w *worker) clockMs() int64 { return time.Since(w.born).Milliseconds() }

// advance ends the runs that are done and, after the end of the lease, all others.
func (w *worker) advance() {
	now := time.Now()
	for key, r := range w.runs {
		switch {
		case !r.ends.IsZero() && !now.Before(r.ends) && (w.leaseEnd.After(r.ends)):
			w.end(key, "done")
		case now.After(w.leaseEnd):
			w.end(key, "lapsed")
		}
	}
}

func (w *worker) end(key, how string) {
	r := w.runs[key]
	delete(w.runs, key)
	w.lastEnd++
	w.ends = append(w.ends, workerEnd{n: w.lastEnd, task: r.task, run: r.run, how: how})
	w.rec.log("worker %s: end %s run %d %s", w.id, r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) running(prefix string) (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, prefix) {
			tasks = append(tasks, r.task)
		}
	}
	sort.Strings(tasks)
	return tasks
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Camphorhead-Expected-Instance"); want != "" && want != w.id {
		respond(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clockMs()})
		return
	}
	var c struct {
		Task         string `json:"task"`
		Run          int    `json:"run"`
		DeadlineMs   int64  `json:"deadline_ms"`
		FencingToken int64  `json:"fencing_token"`
		LastSeen     int    `json:"last_seen"`
		WaitMs       int    `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		respond(rw, http.StatusBadRequest, map[string]any{"clock_ms": w.clockMs()})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if c.FencingToken < w.token {
		respond(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": "fence"})
		return
	}
	w.token = c.FencingToken
	if c.DeadlineMs > 0 {
		end := w.born.Add(time.Duration(c.DeadlineMs) * time.Millisecond)
		if limit := time.Now().Add(holdMaxMs * time.Millisecond); end.After(limit) {
			end = limit
		}
		if end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
	switch r.URL.Path {
	case "/-/run-start":
		w.start(rw, c.Task, c.Run)
	case "/-/run-stop":
		if _, ok := w.runs[c.Task]; ok && w.runs[c.Task].run == c.Run {
			w.end(c.Task, "stopped")
		}
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs()})
	case "/-/hold":
		w.hold(rw, c.LastSeen, c.WaitMs)
	default: // pace: the stand-in's tasks do not disturb each other
		respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs()})
	}
}

func (w *worker) start(rw http.ResponseWriter, task string, run int) {
	reason := ""
	if r := w.runs[task]; r != nil && r.run == run {
		respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs()})
		return
	}
	switch {
	case run <= w.highest[task]:
		reason = "old"
	case time.Now().After(w.leaseEnd):
		reason = "late"
	}
	if reason != "" {
		respond(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": reason})
		return
	}
	r := &workerRun{task: task, run: run, began: time.Now()}
	if ms := w.workMs(task); ms > 0 {
		r.ends = r.began.Add(time.Duration(ms) * time.Millisecond)
		time.AfterFunc(time.Until(r.ends), func() { w.mu.Lock(); w.advance(); w.mu.Unlock() })
	}
	w.runs[task], w.highest[task] = r, run
	w.rec.log("worker %s: start %s run %d", w.id, task, run)
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs()})
}

// hold answers at once if there are ends, else after an end or the wait. mu is held.
func (w *worker) hold(rw http.ResponseWriter, lastSeen, waitMs int) {
	for len(w.ends) > 0 && w.ends[0].n <= lastSeen {
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && waitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(waitMs, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
		w.advance()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.run, "", 100, 0})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}

// announce sends the worker's heartbeats until stop is closed.
func (w *worker) announce(stop chan struct{}) {
	for {
		w.mu.Lock()
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "labels": []string{"a", "r-" + w.zone},
			"clock_ms": w.clockMs(), "sequence": w.sequence, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s/-/instances/%s", w.control, w.id), bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		pause := heartbeat
		if resp, err := (&http.Client{Timeout: time.Second}).Do(req); err == nil {
			resp.Body.Close()
		} else {
			pause = 200 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// begunOf returns how many tasks of a job have begun here.
func (w *worker) begunOf(job string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.highest {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}
