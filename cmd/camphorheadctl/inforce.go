package main

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorheadctl/admin"
)

const (
	// The poll interval starts at minPollInterval and doubles up to maxPollInterval.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// inForceResult is when a version was found in force at all processes, and their number.
type inForceResult struct {
	processes int
	at        time.Time
}

// awaitVersion waits until every process known to the entries has a version in force.
// began is when the change was started, by the local clock.
func awaitVersion(ctx context.Context, client *admin.Client, version uint64, began time.Time) (inForceResult, error) {
	var missing []string
	for poll := minPollInterval; ; poll = min(2*poll, maxPollInterval) {
		known, err := processVersions(ctx, client, began)
		if err == nil {
			if missing = behind(known, version); len(missing) == 0 {
				return inForceResult{processes: len(known), at: time.Now()}, nil
			}
			err = sleep(ctx, poll)
		}
		if err != nil {
			return inForceResult{}, timeoutError(ctx, version, missing, err)
		}
	}
}

// timeoutError names the processes that are behind if ctx has ended, else returns err.
func timeoutError(ctx context.Context, version uint64, missing []string, err error) error {
	if ctx.Err() == nil || len(missing) == 0 {
		return err
	}
	return errs.New("version %d is accepted, but was not in force within --wait-limit at: %s", version, strings.Join(missing, ", "))
}

// processVersions returns the version in force by process id. The version of an agent is
// in its summary, that of an entry in its own status. The timeline has them earlier, and
// is the only source for entries that --entry does not list.
func processVersions(ctx context.Context, client *admin.Client, began time.Time) (map[string]uint64, error) {
	known := map[string]uint64{}
	record := func(id string, version uint64) { known[id] = max(known[id], version) }
	var failed errs.Group
	responded := false
	for _, one := range client.Each() {
		status, err := one.Status(ctx)
		if err != nil {
			failed.Add(err)
			continue
		}
		responded = true
		record(status.Entry, status.ConfigVersion)
		for _, e := range status.Entries {
			record(e.ID, 0)
		}
		for _, a := range status.Agents {
			record(a.Agent, a.ConfigVersion)
		}
	}
	if !responded {
		return nil, failed.Err()
	}
	return known, applyEvents(ctx, client, began, known)
}

// maxClockSkew bounds the assumed clock difference between this host and a process.
const maxClockSkew = 5 * time.Minute

// applyEvents raises the versions in known to those that the timeline reports.
func applyEvents(ctx context.Context, client *admin.Client, began time.Time, known map[string]uint64) error {
	events, err := client.Timeline(ctx, timeline.Filter{
		Name: eventName(event.ConfigurationInForce), SinceMs: began.Add(-maxClockSkew).UnixMilli(), Limit: timeline.DefaultLength,
	})
	for _, r := range events.Records {
		version, err := strconv.ParseUint(r.Value("version"), 10, 64)
		if _, listed := known[r.Process]; listed && err == nil {
			known[r.Process] = max(known[r.Process], version)
		}
	}
	return err
}

func eventName(id event.ID) string {
	definition, _ := event.Lookup(id)
	return definition.Name
}

// sleep waits for d, or until ctx ends, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// behind returns the processes with a lower version, ordered by id.
func behind(known map[string]uint64, version uint64) []string {
	var list []string
	for id, at := range known {
		if at < version {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
