package event

// Process: 1000 to 1999.
const (
	ProcessStarting ID = 1001 + iota
	ProcessServing
	ProcessStopping
	ProcessStopped
	SettingsRefused
	ListenFailed
	PoolSaturated
	StoreUnavailable
	StoreAvailable
	InternalError
	SettingsReloaded
	MemoryBound
)

// Connections: 2000 to 2999.
const (
	ConnectionOpened ID = 2001 + iota
	ConnectionClosed
	ConnectionSilent
	ConnectionRefused
	MalformedFrame
	AuthenticationRefused
)

// Membership: 3000 to 3999.
const (
	EntryRegistered ID = 3001 + iota
	RegistrationLost
	RegistrationRenewalFailed
	AgentJoined
	AgentSuspected
	AgentSessionLapsed
	AgentRehomed
	LeaderKnown
	TermBegun
	TermNotBegun
	TermEnded
	OrdersNotSent
	LeaderLost
	SessionRenewed
)

// Configuration: 4000 to 4999.
const (
	ConfigurationInForce ID = 4001 + iota
	ConfigurationConflict
	ConfigurationStaleIgnored
	ConfigurationCopied
	ManifestRefused
)

// Records and jobs: 5000 to 5999.
const (
	ShardTakenOver ID = 5001 + iota
	ShardFenced
	StoreAnswerLost
	SnapshotWritten
	JobAccepted
	JobAssigned
	JobStarted
	JobEvicted
	JobResumed
	JobFinished
	JobCancelled
	JobRefused
	JobQueued
	JobCancelWanted
	RecordUnreadable
	JobRecorded
	JobNotRecorded
)

// Checks: 6000 to 6999.
const (
	CheckRefused ID = 6001 + iota
	CheckRetried
	CheckHedged
	CheckRouted
	CheckAnswered
	CheckServed
)

// Workers and targets: 7000 to 7999.
const (
	TargetAnnounced ID = 7001 + iota
	TargetLeft
	TargetEjected
	TargetReadmitted
	WorkerEjected
	WorkerReadmitted
	LeaseAtRisk
	TasksStoppedForLease
	TaskStarted
	TaskEnded
	RunPlaced
	RunEnded
	RunRefused
	TaskRunEnded
	StartUnanswered
	StopNotTaken
	WorkerAnnounced
	WorkerLeft
	WorkerSilent
	WorkerAnswers
	WorkerReborn
	AnnouncementRefused
	ServingOverTarget
	RunPaced
)

// Operators: 8000 to 8999.
const (
	PlannedStopBegun ID = 8001 + iota
	PlannedStopProgress
	PlannedStopComplete
	PlannedStopIncomplete
)
