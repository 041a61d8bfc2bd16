package metrics

// Kind is how a metric behaves.
type Kind uint8

// The kinds of metrics.
const (
	Counter Kind = iota
	Gauge
	Histogram
)

func (k Kind) String() string { return [...]string{"counter", "gauge", "histogram"}[k] }

// Definition describes one metric. Its exported name is the name with the prefix of
// the program, the unit, and for a counter "total".
type Definition struct {
	Name string
	Kind Kind
	// Unit is the unit of the exported value; empty: a count.
	Unit string
	// Label names what sets the values of one metric apart; empty: there is one.
	Label string
	Help  string
}

// ID names a metric.
type ID uint8

// The metrics. Each process has those of its role.
const (
	JobsAccepted ID = iota
	JobRecord
	JobStart
	JobTime
	JobsEnded
	QueueWait
	RunsPlaced
	StartConfirmed
	StepGap
	RunAgainstEstimate
	ServingTail
	WorkLost
	Evictions
	Preemptions
	QuotaPreemptions
	StartsFailedEarly
	StartsRefused
	LeasesLapsed
	AdviceCall
	StoreCalls
	StoreCommit
	StoreRetries
	StoreCallsRefused
	StoreReadsFailed
	PurgesFailed
	InboxReadsFailed
	LookupsWithoutLeader
	Leading
	Jobs
	Agents
	StepsReady
	Runs
	AgentsUnproven
	CheckTime
	Refusals
	Attempts
	OutcomesNotRecorded
	LinkBytes
	ConfigPullsFailed
	ConfigPullsRefused
	DependencyUp
	RunsStarted
	WorkerStart
	StartsUnanswered
	StartsRejected
	WorkerCallsRefused
	OrdersOutdated
	LeaderNotTold
	Throttles
	Lifts
	MovesOverBudget
	ChecksServed
	ChecksRefused
	TargetCall
	Slots
	SlotsBusy
	ChecksQueued
	ServiceTime
	FrameBytes
	PoolQueued
	ProcessorTime
	Memory
	LogLinesDropped
	numIDs
)

var catalogue = [numIDs]Definition{
	JobsAccepted:         {"jobs_accepted", Counter, "", "", "Jobs that are durable and were accepted by this entry."},
	JobRecord:            {"job_record", Histogram, "seconds", "", "From the arrival of a job at this entry until it is durable."},
	JobStart:             {"job_start", Histogram, "seconds", "", "From the time at which the leader learned of a job until its first run is ordered."},
	JobTime:              {"job_time", Histogram, "seconds", "", "From the time at which the leader learned of a job until its end."},
	JobsEnded:            {"jobs_ended", Counter, "", "state", "Jobs whose end is durable, by state."},
	QueueWait:            {"queue_wait", Histogram, "seconds", "", "From the time at which a task may run until it is placed."},
	RunsPlaced:           {"runs_placed", Counter, "", "", "Runs that the leader has ordered."},
	StartConfirmed:       {"start_confirmed", Histogram, "seconds", "", "From the order of a run until its agent confirms it."},
	StepGap:              {"step_gap", Histogram, "seconds", "", "From the end of the steps before until a step's first run is placed."},
	RunAgainstEstimate:   {"run_against_estimate", Histogram, "ratio", "", "Time of runs that were done, as a multiple of the task's estimate."},
	ServingTail:          {"serving_tail", Histogram, "seconds", "", "Tail latency of serving tasks, as their workers report it."},
	WorkLost:             {"work_lost", Counter, "core_seconds", "cause", "Work of runs that ended before their task was done, since their last checkpoint."},
	Evictions:            {"evictions", Counter, "", "cause", "Runs that were ended for the sake of others or with their worker."},
	Preemptions:          {"preemptions", Counter, "", "", "Runs that made room for one of a higher priority."},
	QuotaPreemptions:     {"quota_preemptions", Counter, "", "", "Runs that made room for a team below its quota."},
	StartsFailedEarly:    {"starts_failed_early", Counter, "", "", "Runs that failed within a second of their start."},
	StartsRefused:        {"starts_refused", Counter, "", "", "Orders that agents have refused."},
	LeasesLapsed:         {"leases_lapsed", Counter, "", "", "Agents that were silent until their lease was over."},
	AdviceCall:           {"advice_call", Histogram, "seconds", "", "Time of the calls to the policy service."},
	StoreCalls:           {"store_calls", Counter, "", "kind", "Calls to the store, by kind: read, write, watch."},
	StoreCommit:          {"store_commit", Histogram, "seconds", "", "Time of the leader's writing calls to the store."},
	StoreRetries:         {"store_retries", Counter, "", "", "Writing calls to the store that were repeated."},
	StoreCallsRefused:    {"store_calls_refused", Counter, "", "", "Writing calls that found the queue for the store full."},
	StoreReadsFailed:     {"store_reads_failed", Counter, "", "", "Reading calls to the store that failed."},
	PurgesFailed:         {"purges_failed", Counter, "", "", "Removals of old records that failed and are repeated."},
	InboxReadsFailed:     {"inbox_reads_failed", Counter, "", "", "Reads of newly recorded jobs that failed and are repeated."},
	LookupsWithoutLeader: {"lookups_without_leader", Counter, "", "", "Questions for a job's state that were answered from the store for want of a leader."},
	Leading:              {"leading", Gauge, "", "", "1 at the entry that leads."},
	Jobs:                 {"jobs", Gauge, "", "", "Jobs in the leader's table."},
	Agents:               {"agents", Gauge, "", "", "Agents that report to the leader."},
	StepsReady:           {"steps_ready", Gauge, "", "", "Steps with tasks that wait for a worker."},
	Runs:                 {"runs", Gauge, "", "", "Runs that the leader believes at workers."},
	AgentsUnproven:       {"agents_unproven", Gauge, "", "", "Agents of the previous term that have not reported yet."},
	CheckTime:            {"check_time", Histogram, "seconds", "profile", "Time of checks at this entry, by profile."},
	Refusals:             {"refusals", Counter, "", "kind", "Requests that were refused, by kind of error."},
	Attempts:             {"attempts", Counter, "", "kind", "Attempts of checks: first, retry, hedge, and those whose answer was not used."},
	OutcomesNotRecorded:  {"outcomes_not_recorded", Counter, "", "", "Checks whose outcome could not be recorded."},
	LinkBytes:            {"link", Counter, "bytes", "", "Bytes of frames between regions that this entry has sent for checks and updates."},
	ConfigPullsFailed:    {"config_pulls_failed", Counter, "", "", "Reads of a newer configuration that failed and are repeated."},
	ConfigPullsRefused:   {"config_pulls_refused", Counter, "", "", "Reads of a newer configuration that found the pool full."},
	DependencyUp:         {"dependency_up", Gauge, "", "dependency", "1 while a dependency answers: store, leader, worker."},
	RunsStarted:          {"runs_started", Counter, "", "", "Runs that this agent has started at its worker."},
	WorkerStart:          {"worker_start", Histogram, "seconds", "", "Time of the worker's answers to starts."},
	StartsUnanswered:     {"starts_unanswered", Counter, "", "", "Starts without an answer, which were fenced off."},
	StartsRejected:       {"starts_rejected", Counter, "", "reason", "Starts that this agent or its worker has rejected, by reason."},
	WorkerCallsRefused:   {"worker_calls_refused", Counter, "", "", "Calls that found the queue for the worker full."},
	OrdersOutdated:       {"orders_outdated", Counter, "", "", "Orders of an earlier session, which were not carried out."},
	LeaderNotTold:        {"leader_not_told", Counter, "", "", "Entries that did not answer the question for the leader."},
	Throttles:            {"throttles", Counter, "", "", "Runs that were throttled beside checks."},
	Lifts:                {"lifts", Counter, "", "", "Runs whose throttling was reduced."},
	MovesOverBudget:      {"moves_over_budget", Counter, "", "", "Evictions beyond the budget of the worker."},
	ChecksServed:         {"checks_served", Counter, "", "", "Checks that targets have answered."},
	ChecksRefused:        {"checks_refused", Counter, "", "", "Checks that this agent has refused."},
	TargetCall:           {"target_call", Histogram, "seconds", "", "Time of calls to targets."},
	Slots:                {"slots", Gauge, "", "service", "Slots of the targets beside this agent."},
	SlotsBusy:            {"slots_busy", Gauge, "", "service", "Slots in use."},
	ChecksQueued:         {"checks_queued", Gauge, "", "service", "Checks that wait for a slot."},
	ServiceTime:          {"service_time", Gauge, "seconds", "service", "Smoothed time that a check holds a slot."},
	FrameBytes:           {"frames", Counter, "bytes", "direction", "Bytes of frames with other processes."},
	PoolQueued:           {"pool_queued", Gauge, "", "", "Work that waits for a pool worker."},
	ProcessorTime:        {"processor", Counter, "seconds", "", "Processor time of the process."},
	Memory:               {"memory", Gauge, "bytes", "", "Resident memory of the process."},
	LogLinesDropped:      {"log_lines_dropped", Counter, "", "event", "Log lines for which there was no room before the output."},
}

// Catalogue returns all metrics.
func Catalogue() []Definition { return catalogue[:] }

// Exported returns the name under which a metric is exported.
func (d *Definition) Exported() string {
	name := "camphorhead_" + d.Name
	if d.Unit != "" {
		name += "_" + d.Unit
	}
	if d.Kind == Counter {
		name += "_total"
	}
	return name
}
