package metrics

// Kind is the Prometheus type of a metric.
type Kind uint8

// The kinds of metrics.
const (
	Counter Kind = iota
	Gauge
	Histogram
)

func (k Kind) String() string { return [...]string{"counter", "gauge", "histogram"}[k] }

// Definition describes one metric.
type Definition struct {
	Name string
	Kind Kind
	// Unit is the unit of the exported value; empty for a count.
	Unit string
	// Label is the name of the only label; empty if there is none.
	Label string
	Help  string
}

// ID is the index of a metric in the catalogue.
type ID uint8

// The metrics. A process exports those of its role.
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
	RunAgainstLearned
	DepartingTasks
	PlaceWaits
	PlaceWaitTime
	JobsHopeless
	ModelRecords
	ServingTail
	WorkLost
	Evictions
	Preemptions
	QuotaPreemptions
	StartsFailedEarly
	StartsRefused
	LeasesExpired
	RunsConflicting
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
	AgentsUnconfirmed
	TasksIdle
	CheckTime
	Refusals
	Attempts
	OutcomesNotRecorded
	LinkBytes
	ConfigPullsFailed
	ConfigPullsRefused
	DocumentReads
	DocumentBytes
	ConfigVersion
	ConfigAge
	DependencyUp
	RunsStarted
	WorkerStart
	StartsUnanswered
	StartsRejected
	RunsReappeared
	WorkerCallsRefused
	OrdersOutdated
	LeaderQueriesFailed
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
	JobRecord:            {"job_record", Histogram, "seconds", "", "Time from the arrival of a job at this entry until it is durable."},
	JobStart:             {"job_start", Histogram, "seconds", "", "Time from when the leader received a job until its first run is ordered."},
	JobTime:              {"job_time", Histogram, "seconds", "", "Time from when the leader received a job until its end."},
	JobsEnded:            {"jobs_ended", Counter, "", "state", "Jobs whose end is durable, by state."},
	QueueWait:            {"queue_wait", Histogram, "seconds", "", "Time from when a task may run until it is placed."},
	RunsPlaced:           {"runs_placed", Counter, "", "", "Runs that the leader has ordered."},
	StartConfirmed:       {"start_confirmed", Histogram, "seconds", "", "Time from the order of a run until its agent confirms it."},
	StepGap:              {"step_gap", Histogram, "seconds", "", "Time from the end of the preceding steps until the first run of a step is placed."},
	RunAgainstEstimate:   {"run_against_estimate", Histogram, "ratio", "", "Duration of completed runs as a multiple of the estimate of their task."},
	RunAgainstLearned:    {"run_against_learned", Histogram, "ratio", "", "Duration of completed runs as a multiple of the run time learned for their kind."},
	DepartingTasks:       {"departing_tasks", Counter, "", "decision", "Tasks on workers that have announced their departure, by decision: moved, finishing, left."},
	PlaceWaits:           {"place_waits", Counter, "", "state", "Waits of tasks for a worker on their rack, by state: begun, won, given_up, expired."},
	PlaceWaitTime:        {"place_wait", Histogram, "seconds", "", "Duration of waits of tasks for a worker on their rack."},
	JobsHopeless:         {"jobs_hopeless", Counter, "", "profile", "Jobs that were refused because they could not be done in a useful time, by profile."},
	ModelRecords:         {"model_records", Counter, "", "state", "Records of what the leader has learned, by state: written, failed."},
	ServingTail:          {"serving_tail", Histogram, "seconds", "", "Tail latency of serving tasks, as reported by their workers."},
	WorkLost:             {"work_lost", Counter, "core_seconds", "cause", "Work since the last checkpoint of runs that ended before their task was done."},
	Evictions:            {"evictions", Counter, "", "cause", "Runs that were ended in favour of other work or with their worker, by cause."},
	Preemptions:          {"preemptions", Counter, "", "", "Runs that were preempted for a task of a higher priority."},
	QuotaPreemptions:     {"quota_preemptions", Counter, "", "", "Runs that were preempted for a team below its quota."},
	StartsFailedEarly:    {"starts_failed_early", Counter, "", "", "Runs that failed within a second of their start."},
	StartsRefused:        {"starts_refused", Counter, "", "", "Orders that agents have refused."},
	LeasesExpired:        {"leases_lapsed", Counter, "", "", "Agents whose lease expired without a report."},
	RunsConflicting:      {"runs_conflicting", Counter, "", "", "Runs that an agent listed although their task had another run."},
	AdviceCall:           {"advice_call", Histogram, "seconds", "", "Duration of calls to the policy service."},
	StoreCalls:           {"store_calls", Counter, "", "kind", "Calls to the store, by kind: read, write, watch."},
	StoreCommit:          {"store_commit", Histogram, "seconds", "", "Duration of the leader's write calls to the store."},
	StoreRetries:         {"store_retries", Counter, "", "", "Write calls to the store that were repeated."},
	StoreCallsRefused:    {"store_calls_refused", Counter, "", "", "Write calls that were refused because the queue for the store was full."},
	StoreReadsFailed:     {"store_reads_failed", Counter, "", "", "Read calls to the store that failed."},
	PurgesFailed:         {"purges_failed", Counter, "", "", "Removals of old records that failed; the next leader repeats them."},
	InboxReadsFailed:     {"inbox_reads_failed", Counter, "", "", "Reads of newly recorded jobs that failed and are repeated."},
	LookupsWithoutLeader: {"lookups_without_leader", Counter, "", "", "Lookups of a job's state that the leader did not answer; the store answers them."},
	Leading:              {"leading", Gauge, "", "", "1 at the entry that is the leader."},
	Jobs:                 {"jobs", Gauge, "", "", "Jobs in the leader's table."},
	Agents:               {"agents", Gauge, "", "", "Agents that report to the leader."},
	StepsReady:           {"steps_ready", Gauge, "", "", "Steps with tasks that wait for a worker."},
	Runs:                 {"runs", Gauge, "", "", "Runs in the leader's table."},
	AgentsUnconfirmed:    {"agents_unproven", Gauge, "", "", "Agents of earlier terms that have not reported yet."},
	TasksIdle:            {"long_running_tasks_idle", Gauge, "", "state", "Long-running tasks without a confirmed run, by state: held, waiting, unconfirmed, orphaned, unresolved."},
	CheckTime:            {"check_time", Histogram, "seconds", "profile", "Duration of checks at this entry, by profile."},
	Refusals:             {"refusals", Counter, "", "kind", "Requests that were refused, by kind of error."},
	Attempts:             {"attempts", Counter, "", "kind", "Attempts of checks by kind: first, retry, hedge, and wasted (its response was not used)."},
	OutcomesNotRecorded:  {"outcomes_not_recorded", Counter, "", "", "Checks whose outcome could not be recorded."},
	LinkBytes:            {"link", Counter, "bytes", "", "Bytes of checks and orders that this entry has sent to other regions."},
	ConfigPullsFailed:    {"config_pulls_failed", Counter, "", "", "Reads of a newer configuration that failed and are repeated."},
	ConfigPullsRefused:   {"config_pulls_refused", Counter, "", "", "Reads of a newer configuration that were refused because the queue of the pool was full."},
	DocumentReads:        {"document_reads", Counter, "", "reason", "Reads of the operators' whole configuration, by reason: start, failure, history (the store has no history), versions (a response has several versions)."},
	DocumentBytes:        {"document", Counter, "bytes", "", "Bytes received from the store by reads and watches of the operators' configuration."},
	ConfigVersion:        {"config_version", Gauge, "", "", "Configuration version in force."},
	ConfigAge:            {"config_age", Gauge, "seconds", "", "Time since the store last confirmed the version in force as the newest."},
	DependencyUp:         {"dependency_up", Gauge, "", "dependency", "1 while a dependency responds: store, leader, worker."},
	RunsStarted:          {"runs_started", Counter, "", "", "Runs that this agent has started at its worker."},
	WorkerStart:          {"worker_start", Histogram, "seconds", "", "Response time of the worker to starts."},
	StartsUnanswered:     {"starts_unanswered", Counter, "", "", "Starts without a response, after which the fencing token was raised."},
	StartsRejected:       {"starts_rejected", Counter, "", "reason", "Starts that this agent or its worker has rejected, by reason."},
	RunsReappeared:       {"runs_reappeared", Counter, "", "", "Runs that this agent had reported as ended or refused and that its worker listed later."},
	WorkerCallsRefused:   {"worker_calls_refused", Counter, "", "", "Calls that were refused because the queue for the worker was full."},
	OrdersOutdated:       {"orders_outdated", Counter, "", "", "Orders of an earlier session, which were ignored."},
	LeaderQueriesFailed:  {"leader_not_told", Counter, "", "", "Queries for the leader that failed at an entry."},
	Throttles:            {"throttles", Counter, "", "", "Throttles of runs that slowed checks down."},
	Lifts:                {"lifts", Counter, "", "", "Reductions of the throttling of a run."},
	MovesOverBudget:      {"moves_over_budget", Counter, "", "", "Evictions beyond the eviction budget of the worker."},
	ChecksServed:         {"checks_served", Counter, "", "", "Checks that targets have answered."},
	ChecksRefused:        {"checks_refused", Counter, "", "", "Checks that this agent has refused."},
	TargetCall:           {"target_call", Histogram, "seconds", "", "Duration of calls to targets."},
	Slots:                {"slots", Gauge, "", "service", "Slots of the targets of this agent."},
	SlotsBusy:            {"slots_busy", Gauge, "", "service", "Slots in use."},
	ChecksQueued:         {"checks_queued", Gauge, "", "service", "Checks that wait for a slot."},
	ServiceTime:          {"service_time", Gauge, "seconds", "service", "Smoothed time that a check occupies a slot."},
	FrameBytes:           {"frames", Counter, "bytes", "direction", "Bytes of frames with other processes."},
	PoolQueued:           {"pool_queued", Gauge, "", "", "Work items that wait for a pool worker."},
	ProcessorTime:        {"processor", Counter, "seconds", "", "Processor time of the process."},
	Memory:               {"memory", Gauge, "bytes", "", "Resident memory of the process."},
	LogLinesDropped:      {"log_lines_dropped", Counter, "", "event", "Log lines that were dropped because the log buffer was full."},
}

// Catalogue returns all metrics.
func Catalogue() []Definition { return catalogue[:] }

// ExportedName returns the name with prefix, unit, and for a counter the suffix "total".
func (d *Definition) ExportedName() string {
	name := "camphorhead_" + d.Name
	if d.Unit != "" {
		name += "_" + d.Unit
	}
	if d.Kind == Counter {
		name += "_total"
	}
	return name
}
