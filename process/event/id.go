package event

// Process: 1000 to 1999.
const (
	ProcessStarting ID = 1001 + iota
	ProcessServing
	ProcessStopping
	ProcessStopped
	_
	ListenFailed
	_
	StoreUnavailable
	StoreAvailable
	InternalError
	SettingsReloaded
	MemoryBound
	LogLinesDropped
)

// Connections: 2000 to 2999.
const (
	ConnectionOpened ID = 2001 + iota
	ConnectionClosed
	ConnectionTimedOut
	_
	MalformedFrame
	AuthenticationRefused
	NotificationRejected
)

// Membership: 3000 to 3999.
const (
	_ ID = 3001 + iota // numbers of removed events are not reused
	_
	_
	AgentJoined
	_
	AgentSessionExpired
	_
	LeaderKnown
	TermBegun
	TermNotBegun
	TermEnded
	OrdersNotSent
	LeaderLost
	SessionRenewed
	TermResigned
	RunConflicting
	EarlierLeasesLimited
	EarlierAgentLapsed
	RestoredTasksRequeued
	ModelLoaded
	ModelNotRecorded
	StartsHeld
	StartsResumed
)

// Configuration: 4000 to 4999.
const (
	ConfigurationInForce ID = 4001 + iota
	ConfigurationConflict
	_
	_
	DocumentRefused
	DocumentReadFailed
	DocumentPositionLost
)

// Records and jobs: 5000 to 5999.
const (
	_ ID = 5001 + iota
	_
	StoreResponseLost
	_
	JobAccepted
	_
	_
	JobEvicted
	_
	JobFinished
	_
	JobRefused
	JobQueued
	JobCancelRequested
	RecordUnreadable
	_
	JobNotRecorded
	UnknownJobCancelled
	CancelRefused
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
	_
	TasksStoppedForLease
	TaskStarted
	_
	RunPlaced
	RunEnded
	RunRefused
	TaskRunEnded
	StartUnanswered
	StopNotAccepted
	WorkerAnnounced
	WorkerLeft
	WorkerUnreachable
	WorkerReachable
	WorkerRestarted
	AnnouncementRefused
	ServingOverTarget
	RunPaced
	CapacityReserved
	AdviceGiven
	AdviceMissing
	RunReappeared
	TaskIdle
	TasksIdle
	StartAnsweredByAnotherInstance
	TasksMovedOffWorker
	PlaceWaitBegun
	PlaceWaitEnded
)

// Operators: 8000 to 8999.
const (
	PlannedStopBegun ID = 8001 + iota
	_
	PlannedStopComplete
	PlannedStopIncomplete
	EvacuationBegun
	EvacuationEnded
)
