package event

import "slices"

const noAction = "Nothing."

var catalogue = slices.Concat(
	processEvents, connectionEvents, membershipEvents, configurationEvents,
	recordEvents, checkEvents, workerEvents, operatorEvents,
)

var byID = index(catalogue)

// Catalogue returns all events in order of their number.
func Catalogue() []Definition { return slices.Clone(catalogue) }

// Lookup returns the definition of one event.
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
	{ProcessStarting, "process_starting", Info, "process is starting", withUnits("version file"), noAction},
	{ProcessServing, "process_serving", Info, "process is serving", withUnits("frames_address http_address elapsed_ms"), noAction},
	{ProcessStopping, "process_stopping", Info, "process is stopping", withUnits("reason grace_ms"), noAction},
	{ProcessStopped, "process_stopped", Info, "process has stopped", withUnits("elapsed_ms unfinished"), "If unfinished is above 0, allow a longer grace period for the next stop."},
	{ListenFailed, "listen_failed", Error, "listening on an address failed", withUnits("address error"), "Free the address or change the setting of the listener."},
	{StoreUnavailable, "store_unavailable", Error, "store does not respond", withUnits("operation error"), "Check the store. Checks and running tasks continue; new jobs are refused."},
	{StoreAvailable, "store_available", Info, "store responds again", withUnits("outage_ms"), noAction},
	{InternalError, "internal_error", Error, "internal error", withUnits("component error"), "Report it as a bug in camphorhead, together with the events before it."},
	{SettingsReloaded, "settings_reloaded", Info, "settings file was reloaded", withUnits("file reason"), "reason names the settings that need a restart."},
	{MemoryBound, "memory_bound", Info, "memory limit of the process is set", withUnits("bytes"), noAction},
	{LogLinesDropped, "log_lines_dropped", Error, "log lines were dropped because the output was too slow", withUnits("kind lines"), "Check the program that reads the output of the process. The time line of the process still has the events."},
}

var connectionEvents = []Definition{
	{ConnectionOpened, "connection_opened", Debug, "connection opened", withUnits("peer address direction"), noAction},
	{ConnectionClosed, "connection_closed", Debug, "connection closed", withUnits("peer address reason age_ms pending_calls"), noAction},
	{ConnectionTimedOut, "connection_silent", Error, "connection timed out and is replaced", withUnits("peer address silent_ms pending_calls"), "If it repeats for one host or link, check the network between the two processes."},
	{MalformedFrame, "malformed_frame", Error, "malformed frame; connection is closed", withUnits("peer address reason"), "Check which program uses the address and that all processes run compatible versions."},
	{AuthenticationRefused, "authentication_refused", Error, "authentication failed", withUnits("peer address surface reason"), "Check that all processes have the same key, or that the token of the caller is valid."},
	{NotificationRejected, "notification_rejected", Error, "notification was rejected because the worker pool is full; connection is closed", withUnits("peer address"), "The process is overloaded. Both sides resolve what was lost once they are connected again."},
}

var membershipEvents = []Definition{
	{AgentJoined, "agent_joined", Info, "agent joined", withUnits("agent session address"), noAction},
	{AgentSessionExpired, "agent_session_lapsed", Error, "session of an agent has expired", withUnits("agent session tasks unconfirmed age_ms worker_age_ms source"), "Check the host. Its tasks resume on other workers. unconfirmed is the number of these whose start was not confirmed; age_ms is the age of its last report; worker_age_ms is how long its worker instance has been known; source is what confirmed the term after the lease: store or followers."},
	{LeaderKnown, "leader_known", Info, "leader is known", withUnits("term entry address source"), noAction},
	{TermBegun, "term_begun", Info, "this entry has become the leader", withUnits("term jobs unproven wait_ms reason"), "wait_ms is how long this leader waits for agents that have not reported and may have runs; reason is why."},
	{TermNotBegun, "term_not_begun", Info, "this entry could not begin a term", withUnits("term error"), "If no entry leads, check the store."},
	{TermEnded, "term_ended", Info, "this entry is no longer the leader", withUnits("term reason"), noAction},
	{OrdersNotSent, "orders_not_sent", Info, "orders could not be sent; the agent's next full report resolves them", withUnits("agent session tasks error"), noAction},
	{LeaderLost, "leader_lost", Info, "leader does not respond or no longer leads", withUnits("address reason"), "If no leader is found soon after, check the entries and the store."},
	{SessionRenewed, "session_renewed", Info, "agent begins a new session with the leader", withUnits("reason"), noAction},
	{TermResigned, "term_resigned", Error, "this entry reaches too few agents and resigns the term", withUnits("term agents known"), "Check the network around this entry."},
	{RunConflicting, "run_conflicting", Error, "agent lists a run of a task that has another run", withUnits("task run agent other_run other_agent"), "The listed run is stopped if it is not the newer one of one agent. If it was alive, two runs of the task overlapped: report it as a bug in camphorhead, with the events of both agents and of the leaders before it."},
	{EarlierLeasesLimited, "earlier_leases_limited", Info, "wait for agents of earlier terms is shortened", withUnits("term wait_ms reason"), noAction},
	{EarlierAgentLapsed, "earlier_agent_lapsed", Info, "agent of an earlier term has not reported and is no longer waited for", withUnits("term agent wait_ms"), "Check the host. wait_ms is the time since this leader read the jobs."},
	{RestoredTasksRequeued, "restored_tasks_requeued", Info, "held tasks of earlier terms may be placed again", withUnits("term tasks lapsed wait_ms"), "Nothing. lapsed is the number of agents that have not reported."},
	{ModelLoaded, "model_loaded", Info, "leader has read what an earlier one has learned", withUnits("term age_ms pairings kinds received_bytes"), noAction},
	{ModelNotRecorded, "model_not_recorded", Info, "what the leader has learned could not be recorded or read", withUnits("term operation error"), "If it repeats, check the store. The leader learns anew."},
	{StartsHeld, "starts_held", Error, "leader orders no starts, because it may have missed cancellations", withUnits("term age_ms"), "Check the store and the network around this entry. Running tasks go on. age_ms is the time since which cancellations may be missing."},
	{StartsResumed, "starts_resumed", Info, "leader orders starts again", withUnits("term"), noAction},
}

var configurationEvents = []Definition{
	{ConfigurationInForce, "configuration_in_force", Info, "configuration is in force", withUnits("version previous_version source elapsed_ms received_bytes transfer_ms decode_ms"), "Nothing. For a document of the operators: received_bytes and transfer_ms are those of the response that had it, decode_ms is the time to decode it."},
	{ConfigurationConflict, "configuration_conflict", Info, "change is refused; it is based on an older version", withUnits("kind subject based_on_version version operator"), "Base the change on the current version and send it again."},
	{DocumentRefused, "document_refused", Error, "configuration in the store cannot be read and is ignored", withUnits("subject error"), "Correct the configuration; the previous version stays in force."},
	{DocumentReadFailed, "document_read_failed", Error, "configuration could not be read from the store", withUnits("operation version failures received_bytes transfer_ms elapsed_ms error"), "If received_bytes is 0, check the store. If it is large, the link is too slow for the document. failures counts the calls that failed in a row."},
	{DocumentPositionLost, "document_position_lost", Info, "store no longer has the changes after the watched position", withUnits("revision version"), "Nothing, unless it repeats."},
}

var recordEvents = []Definition{
	{StoreResponseLost, "store_answer_lost", Info, "response of the store was lost; the repeated call determined the outcome", withUnits("elapsed_ms"), "If it repeats, check the network to the store."},
	{JobAccepted, "job_accepted", Info, "job is durable and accepted", withUnits("job kind profile franchisee elapsed_ms term"), noAction},
	{JobEvicted, "job_evicted", Info, "task of a job is evicted", withUnits("job incarnation agent cause"), "If it repeats for one profile, raise the declared resources of the profile."},
	{JobFinished, "job_finished", Info, "job is finished", withUnits("job state elapsed_ms source"), noAction},
	{JobRefused, "job_refused", Info, "job is refused", withUnits("job kind profile franchisee reason ran"), "The reason names the limit: size of the job, capacity, or the expected wait."},
	{JobQueued, "job_queued", Info, "recorded job is scheduled", withUnits("job profile tasks source"), noAction},
	{JobCancelRequested, "job_cancel_wanted", Info, "cancellation of a job is recorded", withUnits("job source"), noAction},
	{RecordUnreadable, "record_unreadable", Error, "record in the store cannot be read and is left unchanged", withUnits("subject"), "Check which program writes this key to the store."},
	{JobNotRecorded, "job_not_recorded", Info, "job could not be recorded", withUnits("job profile reason ran elapsed_ms error"), "Check the store. ran reports whether the job may have been recorded."},
	{UnknownJobCancelled, "unknown_job_cancelled", Info, "job was cancelled that is not recorded; submissions of it from before are refused", withUnits("job"), noAction},
	{CancelRefused, "cancel_refused", Info, "cancellation is not acknowledged", withUnits("job reason"), "The reason names what is missing. The caller was told to repeat it."},
}

var checkEvents = []Definition{
	{CheckRefused, "check_refused", Debug, "check is refused", withUnits("request profile franchisee reason ran remaining_ms"), "If it repeats, the targets of the service are overloaded or too few."},
	{CheckRetried, "check_retried", Debug, "check is retried", withUnits("request attempt agent reason remaining_ms"), noAction},
	{CheckHedged, "check_hedged", Debug, "check is sent to a second target", withUnits("request agent wait_ms remaining_ms"), noAction},
	{CheckRouted, "check_routed", Debug, "check is sent to an agent", withUnits("request profile franchisee agent attempt"), noAction},
	{CheckAnswered, "check_answered", Debug, "check is answered", withUnits("request agent elapsed_ms"), noAction},
	{CheckServed, "check_served", Debug, "target has answered a check", withUnits("request agent franchisee service elapsed_ms"), noAction},
}

var workerEvents = []Definition{
	{TargetAnnounced, "target_announced", Info, "target has announced itself", withUnits("target service agent"), noAction},
	{TargetLeft, "target_left", Info, "target has left", withUnits("target service agent reason"), noAction},
	{TargetEjected, "target_ejected", Error, "target is ejected and temporarily gets no checks", withUnits("target service agent failures"), "Check the target; it fails or is much slower than the others."},
	{TargetReadmitted, "target_readmitted", Info, "target is readmitted and gets checks again", withUnits("target service agent outage_ms"), noAction},
	{WorkerEjected, "worker_ejected", Error, "worker is ejected and temporarily gets no tasks", withUnits("worker agent failures"), "Check the worker; its tasks fail soon after their start."},
	{WorkerReadmitted, "worker_readmitted", Info, "worker is readmitted and gets tasks again", withUnits("worker agent outage_ms"), noAction},
	{TasksStoppedForLease, "tasks_stopped_for_lease", Error, "tasks have ended because their lease has expired", withUnits("agent session tasks"), "Check the network and the store. The tasks resume from their checkpoints."},
	{TaskStarted, "task_started", Debug, "worker has started a task", withUnits("job incarnation agent profile task run elapsed_ms"), noAction},
	{RunPlaced, "run_placed", Info, "run of a task is ordered at an agent", withUnits("task run agent milli_cpu image wait_ms age_ms workers harm_percent"), noAction},
	{RunEnded, "run_ended", Info, "run of a task has ended", withUnits("task run agent state void cause"), noAction},
	{RunRefused, "run_refused", Info, "run of a task was refused and has not started", withUnits("task run agent reason unanswered"), "If it repeats for one worker, compare its reported capacity with the tasks that run there."},
	{TaskRunEnded, "task_run_ended", Info, "worker lists the end of a run", withUnits("task run state void cause lease_ms silent_ms age_ms pending_calls"), noAction},
	{StartUnanswered, "start_unanswered", Info, "start had no response and is repeated with a higher token", withUnits("task run"), "If it repeats, check the worker."},
	{StopNotAccepted, "stop_not_taken", Info, "stop was not accepted by the worker and is repeated", withUnits("task run error"), "If it repeats, check the worker."},
	{WorkerAnnounced, "worker_announced", Info, "worker has announced itself", withUnits("worker service state remaining_ms"), noAction},
	{WorkerLeft, "worker_left", Info, "worker has left", withUnits("worker"), noAction},
	{WorkerUnreachable, "worker_silent", Error, "worker does not respond", withUnits("worker silent_ms error"), "Check the worker. Its runs end when their lease expires."},
	{WorkerReachable, "worker_answers", Info, "worker responds", withUnits("worker silent_ms"), noAction},
	{WorkerRestarted, "worker_reborn", Info, "another instance of the worker responds", withUnits("worker tasks silent_ms pending_calls"), "Check why the worker ended. silent_ms is the time since the last listing of the previous instance; pending_calls is the number of calls that were made for that one and may reach this one."},
	{AnnouncementRefused, "announcement_refused", Error, "announcement of a worker cannot be used", withUnits("source error refused"), "Check which program sends to the registry address of the agent."},
	{ServingOverTarget, "serving_over_target", Info, "serving task is over its latency target", withUnits("task run tail_ms target_ms"), "If it persists while no filling tasks run on the worker, the task needs more processors."},
	{RunPaced, "run_paced", Info, "pace of a filling task is set", withUnits("task run percent"), noAction},
	{CapacityReserved, "room_claimed", Info, "runs are preempted to reserve capacity for urgent work", withUnits("job agent tasks"), noAction},
	{AdviceGiven, "advice_given", Info, "policy service has decided which workers may run a step", withUnits("job workers tickets elapsed_ms"), noAction},
	{AdviceMissing, "advice_missing", Error, "policy service did not respond", withUnits("job workers error"), "Check the policy service. Steps of profiles that need its decision wait."},
	{RunReappeared, "run_reappeared", Error, "worker lists a run that the agent has reported as ended or refused", withUnits("task run cause age_ms"), "The task may have run twice; report it with the log of the agent."},
	{TaskIdle, "task_idle", Info, "long-running task has no confirmed run", withUnits("term task state wait_ms agent agents run reachable age_ms workers excluded"), "The state names the cause; see OPERATIONS.md."},
	{TasksIdle, "tasks_idle", Info, "further long-running tasks have no confirmed run; their lines are left out", withUnits("term state tasks"), "See task_idle."},
	{StartAnsweredByAnotherInstance, "start_answered_by_another_instance", Info, "start was answered by a worker instance that has not been listed", withUnits("worker task run behind_ms"), "Check why the worker ended. behind_ms is how far the clock in the response is behind that of the listed instance; the run's lease is the longest that the worker grants."},
	{TasksMovedOffWorker, "tasks_moved_off_worker", Info, "tasks on a departing worker are moved, left to finish, or left alone", withUnits("worker agent remaining_ms moved finishing left"), noAction},
	{PlaceWaitBegun, "place_wait_begun", Info, "task waits for a worker on its rack", withUnits("task rack expected_wait_ms gain_ms workers"), noAction},
	{PlaceWaitEnded, "place_wait_ended", Info, "wait of a task for a worker on its rack has ended", withUnits("task rack state elapsed_ms expected_wait_ms"), "Nothing. state is won, given_up or expired; if most waits are given up, the rack has too few workers for its data."},
}

var operatorEvents = []Definition{
	{PlannedStopBegun, "planned_stop_begun", Info, "planned stop begins", withUnits("stop scope subject grace_ms operator"), noAction},
	{PlannedStopComplete, "planned_stop_complete", Info, "planned stop is complete", withUnits("stop scope subject elapsed_ms"), "The hosts that it covers can be taken out of service."},
	{PlannedStopIncomplete, "planned_stop_incomplete", Error, "planned stop is incomplete at the end of its grace period", withUnits("stop scope subject unfinished elapsed_ms"), "Wait for the remaining tasks, or give the stop a longer grace period."},
	{EvacuationBegun, "evacuation_begun", Info, "leader orders no more runs at the workers of a failure domain", withUnits("subject term workers tasks"), "Nothing. tasks is the number of runs there, which go on."},
	{EvacuationEnded, "evacuation_ended", Info, "workers of a failure domain may get runs again", withUnits("subject term"), noAction},
}
