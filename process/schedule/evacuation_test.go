package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against a run that is ordered in a failure domain after its evacuation: placed, as a
// trial, or by a start that waited for the link; and against tasks that do not come back to it.
func TestEvacuatedDomainGetsNoRuns(t *testing.T) {
	b := newTestbench(t, 1)
	for _, name := range []string{"a", "b"} {
		b.report(name, message.Report{Session: 1, Full: true, Worker: workerInfo(name), Location: message.Location{Domain: "domain-" + name}})
	}
	b.register()
	b.accept(definition("before", checkProfile, 2))
	running := b.starts()
	require.Len(t, running, 2)

	// Starts that wait for the link to their region are withdrawn.
	b.table.cfg.AdmitLink = func(string, int) bool { return false }
	b.accept(definition("waiting", checkProfile, 20))
	require.Empty(t, b.starts())
	b.table.SetEvacuated(b.now(), []string{"domain-a"})
	b.table.cfg.AdmitLink = nil
	started := b.starts()
	require.Len(t, started, 20)
	for k, agent := range started {
		require.Equal(t, "b", agent, k)
	}

	// A worker that is due for a trial, or the last resort of a long-running task, is none.
	a := b.table.agents["a"]
	b.table.setHealth(a, health{failedStarts: 1})
	b.accept(definition("trial", checkProfile, 3))
	for k, agent := range b.starts() {
		require.Equal(t, "b", agent, k)
	}
	for k, agent := range running {
		b.report(agent, message.Report{Ends: []message.RunEnd{runEnd(k, job.EndFailed, b.sequences[agent])}})
	}
	for k, agent := range b.starts() {
		require.Equal(t, "b", agent, k)
	}
	require.Equal(t, []string{"domain-a"}, b.table.Evacuated())

	b.table.SetEvacuated(b.now(), nil)
	b.table.setHealth(a, health{})
	b.accept(definition("after", checkProfile, 10))
	agents := map[string]bool{}
	for _, agent := range b.starts() {
		agents[agent] = true
	}
	require.True(t, agents["a"], "the domain is not taken back")
}

// Guards against an evacuation of all failure domains or an unknown one that stops the scheduler,
// and against runs of an evacuated domain that are ended by it.
func TestEvacuationLeavesRunsAlone(t *testing.T) {
	b := newTestbench(t, 1)
	b.report("a", message.Report{Session: 1, Full: true, Worker: workerInfo("a"), Location: message.Location{Domain: "d"}})
	b.register()
	b.accept(definition("j", checkProfile, 1))
	k, _ := onlyEntry(t, b.starts())
	b.table.SetEvacuated(b.now(), []string{"d", "unknown"})
	b.accept(definition("waits", checkProfile, 1))
	require.Empty(t, b.table.Dispatch(b.now()), "no start and no stop")
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	b.commit()
	require.Equal(t, job.Done, b.state("j"))
	require.Equal(t, job.Accepted, b.state("waits"))
	b.table.SetEvacuated(b.now(), nil)
	require.Len(t, b.starts(), 1)
}

// Guards against an agent that was silent when the evacuation began and gets runs when it returns,
// or whose runs are given up because of it.
func TestSilentAgentReturnsToAnEvacuatedDomain(t *testing.T) {
	b := newTestbench(t, 1)
	b.report("a", message.Report{Session: 1, Full: true, Worker: workerInfo("a"), Location: message.Location{Domain: "d"}})
	b.register()
	b.accept(definition("j", checkProfile, 1))
	k, _ := onlyEntry(t, b.starts())
	b.clock.Advance(maxMissedReports * testReportInterval)
	b.table.SetEvacuated(b.now(), []string{"d"})
	b.report("a", message.Report{
		Session: 2, Full: true, Worker: workerInfo("a"), Location: message.Location{Domain: "d"}, Running: []message.RunState{{Key: k}},
	})
	b.accept(definition("next", checkProfile, 1))
	o := b.orders("a")
	require.Empty(t, o.Starts)
	require.Empty(t, o.Stops)
	b.report("a", message.Report{Session: 2, Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	b.commit()
	require.Equal(t, job.Done, b.state("j"))
}

// Guards against a domain that stays closed after another one was evacuated instead, and against
// tasks that are lost when an evacuation is taken back before they were placed again.
func TestEvacuationsInTurn(t *testing.T) {
	b := newTestbench(t, 1)
	for _, name := range []string{"a", "b"} {
		b.report(name, message.Report{Session: 1, Full: true, Worker: workerInfo(name), Location: message.Location{Domain: name}})
	}
	b.register()
	b.table.cfg.AdmitLink = func(string, int) bool { return false }
	b.accept(definition("j", checkProfile, 4))
	require.Empty(t, b.starts())
	b.table.SetEvacuated(b.now(), []string{"a", "b"})
	b.table.SetEvacuated(b.now(), nil)
	b.table.cfg.AdmitLink = nil
	require.Len(t, b.starts(), 4, "withdrawn starts are lost")
	for _, closed := range []string{"a", "b", "a"} {
		b.table.SetEvacuated(b.now(), []string{closed})
		b.accept(definition("j-"+b.now().String()+closed, checkProfile, 3))
		for k, agent := range b.starts() {
			require.NotEqual(t, closed, agent, k)
		}
		b.clock.Advance(testReportInterval)
		for _, name := range []string{"a", "b"} {
			b.report(name, message.Report{})
		}
	}
}

// Guards against members of a gang that wait alone because the starts of the others were withdrawn.
func TestEvacuationWithdrawsWholeGangs(t *testing.T) {
	b := newTestbench(t, 1)
	for _, name := range []string{"a", "b", "c"} {
		location := message.Location{Region: "near", Domain: name}
		if name == "a" {
			location.Region = "far"
		}
		b.report(name, message.Report{Session: 1, Full: true, Worker: workerInfo(name), Location: location})
	}
	b.register()
	b.table.cfg.AdmitLink = func(region string, _ int) bool { return region == "near" }
	def := definition("j", proofProfile, 3)
	def.Steps[0].Gang, def.Steps[0].Spread, def.Steps[0].Need.MilliCPU = true, 1, 30_000
	b.accept(def)
	sent := b.starts()
	require.Len(t, sent, 2, "the start of the third member waits for the link")
	b.table.SetEvacuated(b.now(), []string{"a"})
	stops := 0
	for _, o := range b.table.Dispatch(b.now()) {
		stops += len(o.Orders.Stops)
		require.Empty(t, o.Orders.Starts)
	}
	require.Equal(t, 2, stops)
	for k, agent := range sent {
		b.report(agent, message.Report{Ends: []message.RunEnd{runEnd(k, job.EndStopped, 1)}})
	}
	b.table.SetEvacuated(b.now(), nil)
	b.table.cfg.AdmitLink = nil
	require.Len(t, b.starts(), 3)
}
