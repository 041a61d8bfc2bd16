package main

import (
	"fmt"
	"time"
)

const (
	agentCut = 1200 * time.Millisecond // of one of six agents; at most 5.5 s
	finish   = 14 * time.Second        // finish_s
	cancelMs = 3 * time.Second         // cancel_ms
	stopMs   = 400 * time.Millisecond  // stop_ms
)

// ordersCase cuts one agent off from the entries for a moment. Jobs are sent and cancelled all
// the while. Long after that it looks for jobs of which nothing runs, and for tasks of cancelled
// jobs that run on.
func ordersCase(rec *record, root string, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec, root, 6, func(task string) int {
		if task[:4] == "00f2" {
			return 300
		}
		return 0
	})
	if err != nil {
		return false, err
	}
	defer d.close()
	leader, err := d.lead()
	if err != nil {
		return false, err
	}
	c, checks := d.client("at-leader", leader), d.client("checks", leader)
	cutAgent := d.sides[0]

	// Lasting jobs with a task on each worker, to be cancelled later.
	const lasting = 16
	for i := range lasting {
		c.call("POST", fmt.Sprintf("00f1%012d", i), `{"task_spec":"last","steps":[{"count":6,"cpu":1000,"mem_mb":1000,"estimate_ms":1000,"long_running":true,"anti_affinity":1}]}`)
	}
	if !until(10*time.Second, func() bool { return d.running("00f1") == 6*lasting }) {
		return false, fmt.Errorf("the lasting jobs do not run: %d tasks of %d", d.running("00f1"), 6*lasting)
	}
	time.Sleep(time.Second)
	if trouble {
		rec.log("cut: %s from the entries", cutAgent.name)
		for _, p := range d.proxies {
			p.setCut(cutAgent.name, true)
		}
	}
	time.Sleep(agentCut)
	if trouble {
		for _, p := range d.proxies {
			p.setCut(cutAgent.name, false)
		}
		rec.log("healed")
	}
	// For 1.6 s, a job each 50 ms and a cancellation each 100 ms.
	cancelled := map[string]time.Time{}
	var jobs []string
	for i := range 2 * lasting {
		id := fmt.Sprintf("00f2%012d", i)
		status, _ := c.call("POST", id, `{"task_spec":"check","steps":[{"count":6,"cpu":1000,"mem_mb":100,"estimate_ms":300,"anti_affinity":1}]}`)
		if status == 200 {
			jobs = append(jobs, id)
		}
		if i%2 == 0 {
			id := fmt.Sprintf("00f1%012d", i/2)
			if status, _ := c.call("DELETE", id, ""); status == 200 || status == 410 {
				cancelled[id] = time.Now()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	rec.log("the traffic ends: %d jobs accepted, %d cancellations acknowledged", len(jobs), len(cancelled))
	time.Sleep(finish + 4*time.Second)

	// Nothing else runs now, so there is room for each task many times over.
	for _, id := range jobs {
		if state, running := checks.state(id), d.running(id); state != "completed" && running == 0 {
			time.Sleep(100 * time.Millisecond)
			rec.log("LOST: job %s is %s, %d of its tasks have begun, none runs", id, state, d.begun(id))
			broken = true
		}
	}
	for id, at := range cancelled {
		if n := d.running(id); n > 0 && time.Since(at) > cancelMs+stopMs {
			rec.log("UNASKED: %d tasks of job %s run on, %.1f s after its cancellation was acknowledged", n, id, time.Since(at).Seconds())
			broken = true
		}
	}
	return broken, nil
}

// running returns how many tasks of the jobs with a prefix of their ids run.
func (d *deployment) running(prefix string) (n int) {
	for _, w := range d.workers {
		n += len(w.running(prefix))
	}
	return n
}

// begun returns how many tasks of a job a worker has begun.
func (d *deployment) begun(job string) (n int) {
	for _, w := range d.workers {
		n += w.begunOf(job)
	}
	return n
}
