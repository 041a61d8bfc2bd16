// Package lockrank provides mutexes with a fixed acquisition order.
//
// A goroutine may acquire a lock only if every lock that it holds has a lower rank.
// Builds with the race detector or the tag lockrank check this and panic on a violation;
// other builds have no cost beyond that of sync.Mutex.
package lockrank

// Rank is the position of a lock in the process-wide acquisition order.
type Rank uint8

// The lock order table; docs/design.md lists what each lock guards.
const (
	RankConfigPages Rank = 15
	RankConfig      Rank = 20
	RankMembership  Rank = 30
	RankSessions    Rank = 35
	RankFleet       Rank = 40
	RankScheduler   Rank = 47
	RankLinks       Rank = 49
	RankRecords     Rank = 50
	RankQueue       Rank = 60
	RankRequests    Rank = 65
	RankTasks       Rank = 68
	RankControl     Rank = 69
	RankLedger      Rank = 70
	RankConnections Rank = 75
	RankCalls       Rank = 80
	RankTimeline    Rank = 90
	RankMetrics     Rank = 95
	RankLog         Rank = 99
)
