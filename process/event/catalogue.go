package event

import "slices"

const none = "Nothing."

var catalogue = slices.Concat(
	processEvents, connectionEvents, membershipEvents, configurationEvents,
	recordEvents, checkEvents, workerEvents, operatorEvents,
)

var byID = index(catalogue)

// Catalogue returns all events in order of their number.
func Catalogue() []Definition { return slices.Clone(catalogue) }

// Lookup returns the row of one event.
func Lookup(id ID) (Definition, bool) {
	d, ok := byID[id]
	return d, ok
}

func index(list []Definition) map[ID]Definition {
	m := make(map[ID]Definition, len(list))
	for _, d := range list {
		m[d.ID] = d
	}
	return m
}

var processEvents = []Definition{
	{ProcessStarting, "process_starting", Info, "process starts", fields("version file"), none},
	{ProcessServing, "process_serving", Info, "process serves", fields("frames_address http_address elapsed_ms"), none},
	{ProcessStopping, "process_stopping", Info, "process stops", fields("reason grace_ms"), none},
	{ProcessStopped, "process_stopped", Info, "process has stopped", fields("elapsed_ms unfinished"), "If unfinished is above 0, allow a longer grace for the next stop."},
	{ListenFailed, "listen_failed", Error, "listening on an address failed", fields("address error"), "Free the address or change the setting of the listener."},
	{StoreUnavailable, "store_unavailable", Error, "store does not respond", fields("operation error"), "Check the store. Checks and running tasks go on; new jobs are refused."},
	{StoreAvailable, "store_available", Info, "store responds again", fields("outage_ms"), none},
	{InternalError, "internal_error", Error, "internal error", fields("component error"), "Report it as a fault of camphorhead with the events before it."},
	{SettingsReloaded, "settings_reloaded", Info, "settings file was read again", fields("file reason"), "Settings that need a restart are named in reason."},
	{MemoryBound, "memory_bound", Info, "memory of the process is bounded", fields("bytes"), none},
	{LogLinesDropped, "log_lines_dropped", Error, "log lines were dropped, the output did not take them", fields("kind lines"), "Check what reads the output of the process. The time line of the process still has the events."},
}

var connectionEvents = []Definition{
	{ConnectionOpened, "connection_opened", Debug, "connection opened", fields("peer address direction"), none},
	{ConnectionClosed, "connection_closed", Debug, "connection closed", fields("peer address reason age_ms pending_calls"), none},
	{ConnectionSilent, "connection_silent", Error, "connection is silent and is replaced", fields("peer address silent_ms pending_calls"), "If one host or link repeats it, check the network between the two."},
	{MalformedFrame, "malformed_frame", Error, "malformed frame, connection is closed", fields("peer address reason"), "Check which program uses the address and that all processes run compatible versions."},
	{AuthenticationRefused, "authentication_refused", Error, "authentication is refused", fields("peer address surface reason"), "Check that all processes have the same key, or the token of the caller."},
}

var membershipEvents = []Definition{
	{AgentJoined, "agent_joined", Info, "agent joined", fields("agent session address"), none},
	{AgentSessionLapsed, "agent_session_lapsed", Error, "session of an agent has lapsed", fields("agent session tasks"), "Check the host. Its tasks resume on other workers."},
	{LeaderKnown, "leader_known", Info, "leader is known", fields("term entry address source"), none},
	{TermBegun, "term_begun", Info, "this entry leads", fields("term jobs unproven"), none},
	{TermNotBegun, "term_not_begun", Info, "this entry could not begin a term", fields("term error"), "If no entry leads, check the store."},
	{TermEnded, "term_ended", Info, "this entry leads no more", fields("term reason"), none},
	{OrdersNotSent, "orders_not_sent", Info, "orders could not be sent, the agent's next full report settles them", fields("agent session tasks error"), none},
	{LeaderLost, "leader_lost", Info, "leader does not answer or does not lead", fields("address reason"), "If no leader is found soon after, check the entries and the store."},
	{SessionRenewed, "session_renewed", Info, "agent attaches to the leader anew", fields("reason"), none},
	{TermResigned, "term_resigned", Error, "this entry reaches too few agents and gives the term up", fields("term agents known"), "Check the network around this entry."},
}

var configurationEvents = []Definition{
	{ConfigurationInForce, "configuration_in_force", Info, "configuration is in force", fields("version previous_version source elapsed_ms"), none},
	{ConfigurationConflict, "configuration_conflict", Info, "change is refused, it is based on an older version", fields("kind subject based_on_version version operator"), "Base the change on the current version and send it again."},
	{DocumentRefused, "document_refused", Error, "configuration in the store cannot be read and is ignored", fields("subject error"), "Correct what the operator wrote; the version before stays in force."},
}

var recordEvents = []Definition{
	{StoreAnswerLost, "store_answer_lost", Info, "response of the store was lost, the repeated call settled it", fields("elapsed_ms"), "If it repeats, check the network to the store."},
	{JobAccepted, "job_accepted", Info, "job is durable and accepted", fields("job kind profile franchisee elapsed_ms term"), none},
	{JobEvicted, "job_evicted", Info, "task of a job is evicted", fields("job incarnation agent cause"), "If one profile repeats it, raise its declared resources."},
	{JobFinished, "job_finished", Info, "job is finished", fields("job state elapsed_ms source"), none},
	{JobRefused, "job_refused", Info, "job is refused", fields("kind profile franchisee reason ran"), "Follow the reason: quota, size of the job, or capacity."},
	{JobQueued, "job_queued", Info, "recorded job is scheduled", fields("job profile tasks source"), none},
	{JobCancelWanted, "job_cancel_wanted", Info, "cancelling of a job is recorded", fields("job source"), none},
	{RecordUnreadable, "record_unreadable", Error, "record in the store cannot be read and is left alone", fields("subject"), "Check who writes to the store under this key."},
	{JobNotRecorded, "job_not_recorded", Info, "job could not be recorded", fields("job profile reason ran elapsed_ms error"), "Check the store. ran says whether the job may still come into being."},
}

var checkEvents = []Definition{
	{CheckRefused, "check_refused", Debug, "check is refused", fields("request profile franchisee reason ran remaining_ms"), "If it repeats, the targets of the service are overloaded or too few."},
	{CheckRetried, "check_retried", Debug, "check is sent again", fields("request attempt agent reason remaining_ms"), none},
	{CheckHedged, "check_hedged", Debug, "check is sent to a second target", fields("request agent wait_ms remaining_ms"), none},
	{CheckRouted, "check_routed", Debug, "check is sent to an agent", fields("request profile franchisee agent attempt"), none},
	{CheckAnswered, "check_answered", Debug, "check is answered", fields("request agent elapsed_ms"), none},
	{CheckServed, "check_served", Debug, "target has answered a check", fields("request agent franchisee service elapsed_ms"), none},
}

var workerEvents = []Definition{
	{TargetAnnounced, "target_announced", Info, "target has announced itself", fields("target service agent"), none},
	{TargetLeft, "target_left", Info, "target has left", fields("target service agent reason"), none},
	{TargetEjected, "target_ejected", Error, "target gets no checks for a while", fields("target service agent failures"), "Check the target; it fails or is much slower than the others."},
	{TargetReadmitted, "target_readmitted", Info, "target gets checks again", fields("target service agent outage_ms"), none},
	{WorkerEjected, "worker_ejected", Error, "worker gets no tasks for a while", fields("worker agent failures"), "Check the worker; the tasks that it starts fail at once."},
	{WorkerReadmitted, "worker_readmitted", Info, "worker gets tasks again", fields("worker agent outage_ms"), none},
	{TasksStoppedForLease, "tasks_stopped_for_lease", Error, "tasks are stopped at the end of their lease", fields("agent session tasks"), "Check the network and the store. The tasks resume from their checkpoints."},
	{TaskStarted, "task_started", Debug, "worker runs a task", fields("job incarnation agent profile task run elapsed_ms"), none},
	{RunPlaced, "run_placed", Info, "run of a task is ordered at an agent", fields("task run agent milli_cpu image wait_ms age_ms workers harm_percent"), none},
	{RunEnded, "run_ended", Info, "run of a task has ended", fields("task run agent state void cause"), none},
	{RunRefused, "run_refused", Info, "run of a task was refused and has not started", fields("task run agent reason"), "If one worker repeats it, compare its reported capacity with what runs there."},
	{TaskRunEnded, "task_run_ended", Info, "worker lists the end of a run", fields("task run state void cause"), none},
	{StartUnanswered, "start_unanswered", Info, "start had no answer and is repeated under a higher token", fields("task run"), "If it repeats, check the worker."},
	{StopNotTaken, "stop_not_taken", Info, "stop was not taken and is repeated", fields("task run error"), "If it repeats, check the worker."},
	{WorkerAnnounced, "worker_announced", Info, "worker has announced itself", fields("worker service state remaining_ms"), none},
	{WorkerLeft, "worker_left", Info, "worker has left", fields("worker"), none},
	{WorkerSilent, "worker_silent", Error, "worker does not answer", fields("worker silent_ms error"), "Check the worker. Its runs end with their lease."},
	{WorkerAnswers, "worker_answers", Info, "worker answers", fields("worker silent_ms"), none},
	{WorkerReborn, "worker_reborn", Info, "another life of the worker answers", fields("worker tasks"), "Check why the worker ended."},
	{AnnouncementRefused, "announcement_refused", Error, "announcement of a worker cannot be used", fields("source error"), "Check what writes to the address of the worker's registry."},
	{ServingOverTarget, "serving_over_target", Info, "serving task is over its latency target", fields("task run tail_ms target_ms"), "If it lasts while nothing fills the worker, the task needs more processors."},
	{RunPaced, "run_paced", Info, "filling task works at a share of its speed", fields("task run percent"), none},
	{RoomClaimed, "room_claimed", Info, "runs are stopped to make room for urgent work", fields("job agent tasks"), none},
	{AdviceGiven, "advice_given", Info, "policy service has said which workers may run a step", fields("job workers tickets elapsed_ms"), none},
	{AdviceMissing, "advice_missing", Error, "policy service gave no answer", fields("job workers error"), "Check the policy service. Steps of profiles that ask it wait."},
}

var operatorEvents = []Definition{
	{PlannedStopBegun, "planned_stop_begun", Info, "planned stop begins", fields("stop scope subject grace_ms operator"), none},
	{PlannedStopComplete, "planned_stop_complete", Info, "planned stop is complete", fields("stop scope subject elapsed_ms"), "The hosts that it covers can be taken away."},
	{PlannedStopIncomplete, "planned_stop_incomplete", Error, "planned stop is incomplete at the end of its grace", fields("stop scope subject unfinished elapsed_ms"), "Wait for the rest, or give the stop a longer grace."},
}
