package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorheadctl/admin"
)

type statusCommand struct{ app *app }

func (a *app) addStatus(parent *flags.Command) error {
	_, err := parent.AddCommand("status", "show the deployment as seen by one entry",
		"Shows entries, agents with their free resources and queues, and the configuration in force.", &statusCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if c.app.options.JSON {
			return c.app.printJSON(s)
		}
		return c.app.printStatus(s)
	})
}

func (a *app) printStatus(s admin.Status) error {
	fmt.Fprintf(a.out, "seen by %s (%s): jobs served %s, store answers %s, %d jobs waiting\n",
		s.Entry, s.Region, yesNo(s.Serving), yesNo(!s.StoreDown), s.WaitingJobs)
	fmt.Fprintf(a.out, "leader: %s in term %d%s\n", orNone(s.Leader), s.Term, leadsNote(s.Leads))
	fmt.Fprintf(a.out, "configuration: version %d, %s; lowest version of an agent: %d%s\n\n",
		s.ConfigVersion, configAge(s.ConfigAgeMs), s.LowestConfigVersion, behindNote(s))
	if err := a.printEntries(s.Entries); err != nil {
		return err
	}
	fmt.Fprintln(a.out)
	return a.printAgents(s)
}

func orNone(text string) string {
	if text == "" {
		return "NONE"
	}
	return text
}

func leadsNote(leads bool) string {
	if leads {
		return " (this entry)"
	}
	return ""
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "NO"
}

func configAge(ms int64) string {
	if ms < 0 {
		return "never confirmed by the store"
	}
	return "confirmed by the store " + (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

func behindNote(s admin.Status) string {
	count := 0
	for _, agent := range s.Agents {
		if agent.ConfigVersion < s.ConfigVersion {
			count++
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d of %d agents are behind)", count, len(s.Agents))
}

func (a *app) printEntries(entries []message.EntryInfo) error {
	t := newTable(a.out, "ENTRY", "REGION", "FAILURE DOMAIN", "ADDRESS", "STARTED")
	for _, e := range entries {
		t.row(e.ID, e.Location.Region, e.Location.Domain, e.Address, dateTime(e.StartedMs))
	}
	return t.flush()
}

func (a *app) printAgents(s admin.Status) error {
	t := newTable(a.out, "AGENT", "FAILURE DOMAIN", "RACK", "FREE CORES", "FREE GB", "FREE ACC", "TASKS", "SERVICE", "BUSY", "QUEUED", "CONFIG", "STATE")
	for _, agent := range s.Agents {
		service, busy, queued := sumLoad(agent.Services)
		t.row(agent.Agent, agent.FailureDomain, agent.Rack,
			fraction(cores(agent.Free.MilliCPU), cores(agent.Capacity.MilliCPU)),
			fraction(gigabytes(agent.Free.MemoryMB), gigabytes(agent.Capacity.MemoryMB)),
			fraction(fmt.Sprint(agent.Free.Accelerators), fmt.Sprint(agent.Capacity.Accelerators)),
			agent.Tasks, service, busy, queued, agent.ConfigVersion, agentState(agent))
	}
	return t.flush()
}

// sumLoad joins the names of an agent's services and adds up their slots and queues.
func sumLoad(services []message.ServiceLoad) (names, busy string, queued int) {
	slots, used := 0, 0
	for i, l := range services {
		if i > 0 {
			names += ","
		}
		names += l.Service
		slots, used, queued = slots+l.Slots, used+l.Busy, queued+l.Queued
	}
	return names, fraction(fmt.Sprint(used), fmt.Sprint(slots)), queued
}

func agentState(agent admin.Agent) string {
	if agent.Draining {
		return "leaving"
	}
	return "in service"
}
