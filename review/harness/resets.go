package main

import (
	"fmt"
	"time"
)

const (
	resetRounds    = 9
	resetsPerRound = 4 // 36 in all, of the connections of two of six agents
	resetPause     = 150 * time.Millisecond
	roundTraffic   = 900 * time.Millisecond
	roundCalm      = contact + 3*time.Second + 500*time.Millisecond
)

// resetsCase resets connections between agents and the leader while jobs that last are sent.
// After each round it looks, in calm, for tasks that have never begun.
func resetsCase(rec *record, root string, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec, root, 6, func(task string) int {
		if task[:4] == "00f2" {
			return 100
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
	c, n := d.client("at-leader", leader), 0
	for round := range resetRounds {
		jobs := []string{}
		reset := make(chan struct{})
		go func() {
			defer close(reset)
			for i := range resetsPerRound {
				time.Sleep(resetPause)
				for k := range 2 {
					m := d.sides[(2*round+k)%len(d.sides)]
					if trouble {
						rec.log("reset %d of %d: %d connections of %s", i+1, resetsPerRound, d.proxies[leader.name].reset(m.name), m.name)
					}
				}
			}
		}()
		for began := time.Now(); time.Since(began) < roundTraffic; time.Sleep(3 * time.Millisecond) {
			n++
			c.call("POST", fmt.Sprintf("00f2%012d", n), `{"task_spec":"check","steps":[{"count":6,"cpu":500,"mem_mb":50,"estimate_ms":100,"anti_affinity":1},{"count":6,"cpu":500,"mem_mb":50,"estimate_ms":100,"anti_affinity":1,"after":[0]}]}`)
			id := fmt.Sprintf("00f1%012d", n)
			status, _ := c.call("POST", id, `{"task_spec":"last","steps":[{"count":6,"cpu":50,"mem_mb":50,"estimate_ms":300,"long_running":true,"anti_affinity":1}]}`)
			if status == 200 {
				jobs = append(jobs, id)
			}
		}
		<-reset
		rec.log("round %d: %d jobs of 6 lasting tasks accepted; calm", round+1, len(jobs))
		time.Sleep(roundCalm)
		for _, id := range jobs {
			if running := d.running(id); running < 6 {
				rec.log("LOST: %d of the 6 tasks of job %s do not run, %d have begun, though there is room", 6-running, id, d.begun(id))
				broken = true
			}
		}
	}
	return broken, nil
}
