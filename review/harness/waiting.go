package main

import (
	"fmt"
	"time"
)

// Bounds of sites/lcf-sched.toml, and the dose of node_cut there.
const (
	visible   = 3 * time.Second // visible_ms
	contact   = 4 * time.Second // contact_ms
	cutLength = 9 * time.Second // at most 12 s, one of three entries
)

// waitingCase cuts one entry off from the other entries while jobs wait, and asks it how many
// jobs wait: on the channel that the client opened before.
func waitingCase(rec *record, root string, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec, root, 2, func(task string) int {
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
	_, others := d.leader()
	atLeader, atOther := d.client("at-leader", leader), d.client("at-other", others[0])
	rec.log("leader %s; entry to be cut off %s", leader.name, others[0].name)

	// One job that lasts fills both workers, so that the jobs after it wait.
	atLeader.call("POST", "00f1000000000001", `{"task_spec":"fill","steps":[{"count":2,"cpu":60000,"mem_mb":1000,"estimate_ms":1000,"long_running":true}]}`)
	if !until(10*time.Second, func() bool { return len(d.workers[0].running("00f1"))+len(d.workers[1].running("00f1")) == 2 }) {
		return false, fmt.Errorf("the workers are not filled")
	}
	if !until(5*time.Second, func() bool { return atOther.waiting() == 0 }) {
		return false, fmt.Errorf("jobs wait before any was sent")
	}
	if trouble {
		rec.log("cut: %s from the other entries", others[0].name)
		d.cutOff(others[0], true)
	}
	cutAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	const jobs = 8
	for i := range jobs {
		status, _ := atLeader.call("POST", fmt.Sprintf("00f200000000000%d", i), `{"task_spec":"check","steps":[{"count":1,"cpu":10000,"mem_mb":100,"estimate_ms":300}]}`)
		if status != 200 {
			return false, fmt.Errorf("a job is not accepted: %d", status)
		}
	}
	// All jobs were accepted more than visible_ms + 2 s before, and the cut is older than contact_ms.
	time.Sleep(visible + 2*time.Second + 500*time.Millisecond)
	begun := len(d.workers[0].running("00f2")) + len(d.workers[1].running("00f2"))
	cut, whole := atOther.waiting(), atLeader.waiting()
	rec.log("%.1f s after the cut: %d jobs wait, %d have begun; %s says %d, %s says %d", time.Since(cutAt).Seconds(), jobs, begun, others[0].name, cut, leader.name, whole)
	for time.Since(cutAt) < cutLength {
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		d.cutOff(others[0], false)
		rec.log("healed")
	}
	if begun != 0 || whole < 0 {
		return false, fmt.Errorf("jobs have begun, or the leader does not answer")
	}
	return cut >= 0 && 2*cut < jobs, nil
}

// cutOff cuts an entry off from the other entries, both ways, or heals the cut.
func (d *deployment) cutOff(m *machine, cut bool) {
	for _, other := range d.fronts {
		if other != m {
			d.proxies[other.name].setCut(m.name, cut)
			d.proxies[m.name].setCut(other.name, cut)
		}
	}
}
