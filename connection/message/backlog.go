package message

// Backlog lists the profiles whose jobs the leader expects to wait before they start.
type Backlog struct {
	Delays []ProfileDelay // sorted by profile; a profile that is not listed has no delay
	// Revision is one that the store has reached: every write up to it was executed before this was
	// sent.
	Revision uint64
}

// ProfileDelay is the expected time from the submission of a job to its start, in milliseconds.
type ProfileDelay struct {
	Profile string
	DelayMs int64
}
