// Package outcome defines the closed list of error kinds and the response that a
// caller gets for each of them.
//
// Every response that is not a success states whether the work ran. RanNo is a
// guarantee: nothing of the request was executed and nothing will be.
package outcome

import "github.com/zeebo/errs"

// Ran states whether the work of a failed request was executed.
type Ran string

// The three statements about execution.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Kind is the reason why a request failed.
type Kind string

// The closed list of kinds.
const (
	InvalidField     Kind = "invalid_field"
	MissingKey       Kind = "missing_request_key"
	UnknownProfile   Kind = "unknown_profile"
	RetiredProfile   Kind = "retired_profile"
	BodyTooLarge     Kind = "body_too_large"
	MalformedFrame   Kind = "malformed_frame"
	WrongVersion     Kind = "wrong_protocol_version"
	Unauthenticated  Kind = "unauthenticated"
	Forbidden        Kind = "forbidden"
	NotFound         Kind = "not_found"
	Conflict         Kind = "conflict"
	KeyReused        Kind = "request_key_reused"
	QueueFull        Kind = "queue_full"
	QuotaExceeded    Kind = "quota_exceeded"
	DeadlineRefused  Kind = "deadline_refused"
	DeadlineExceeded Kind = "deadline_exceeded"
	NoTarget         Kind = "no_target"
	NoCapacity       Kind = "no_capacity"
	NeverFits        Kind = "never_fits"
	Overloaded       Kind = "overloaded"
	StoreUnavailable Kind = "store_unavailable"
	StoreUncertain   Kind = "store_uncertain"
	Draining         Kind = "draining"
	StaleIncarnation Kind = "stale_incarnation"
	NotOwner         Kind = "not_owner"
	NoLeader         Kind = "no_leader"
	ConnectionLost   Kind = "connection_lost"
	Tombstoned       Kind = "refused_by_tombstone"
	TargetFailed     Kind = "target_failed"
	TaskFailed       Kind = "task_failed"
	RetryBudgetSpent Kind = "retry_budget_spent"
	Cancelled        Kind = "cancelled"
	Internal         Kind = "internal"
)

// Response is the part of a response that depends on the kind alone.
type Response struct {
	Status int  // HTTP status
	Ran    Ran  // statement about execution
	Retry  bool // whether the caller may send the same request again
}

var responses = map[Kind]Response{
	InvalidField:     {400, RanNo, false},
	MissingKey:       {400, RanNo, false},
	UnknownProfile:   {404, RanNo, false},
	RetiredProfile:   {410, RanNo, false},
	BodyTooLarge:     {413, RanNo, false},
	MalformedFrame:   {400, RanNo, false},
	WrongVersion:     {505, RanNo, false},
	Unauthenticated:  {401, RanNo, false},
	Forbidden:        {403, RanNo, false},
	NotFound:         {404, RanNo, false},
	Conflict:         {409, RanNo, false},
	KeyReused:        {422, RanNo, false},
	QueueFull:        {429, RanNo, true},
	QuotaExceeded:    {429, RanNo, true},
	DeadlineRefused:  {503, RanNo, true},
	DeadlineExceeded: {504, RanMaybe, true},
	NoTarget:         {503, RanNo, true},
	NoCapacity:       {503, RanNo, true},
	NeverFits:        {422, RanNo, false},
	Overloaded:       {503, RanNo, true},
	StoreUnavailable: {503, RanNo, true},
	StoreUncertain:   {504, RanMaybe, true},
	Draining:         {503, RanNo, true},
	StaleIncarnation: {409, RanNo, false},
	NotOwner:         {503, RanNo, true},
	NoLeader:         {503, RanMaybe, true},
	ConnectionLost:   {502, RanMaybe, true},
	Tombstoned:       {503, RanNo, true},
	TargetFailed:     {502, RanYes, true},
	TaskFailed:       {502, RanYes, false},
	RetryBudgetSpent: {503, RanMaybe, true},
	Cancelled:        {409, RanMaybe, false},
	Internal:         {500, RanMaybe, true},
}

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response returns the response for k; an unlisted kind has that of Internal.
func (k Kind) Response() Response {
	if r, ok := responses[k]; ok {
		return r
	}
	return responses[Internal]
}

// Class is the error class for wrapping errors of this package.
var Class = errs.Class("camphorhead")

// Error describes a failed request: its kind, the invalid field if any, and a message.
type Error struct {
	Kind    Kind   `msgpack:"k" json:"kind"`
	Field   string `msgpack:"f,omitempty" json:"field,omitempty"`
	Message string `msgpack:"m" json:"message"`
	// NotRun is set if this failure is known to have happened before anything was
	// executed, although its kind alone means RanMaybe.
	NotRun bool `msgpack:"n,omitempty" json:"-"`
	// RetryAfterSeconds is when the caller should send the request again; 0: not known. The entry that
	// sets it responds to the caller, so it is not part of messages and records.
	RetryAfterSeconds int `msgpack:"-" json:"-"`
}

// New returns an error of the given kind.
func New(kind Kind, message string) *Error { return &Error{Kind: kind, Message: message} }

// Field returns an error of the given kind that names the invalid field.
func Field(kind Kind, field, message string) *Error {
	return &Error{Kind: kind, Field: field, Message: message}
}

// AsNotRun sets NotRun, for a failure before anything was executed, and returns e.
func (e *Error) AsNotRun() *Error {
	e.NotRun = true
	return e
}

// Error returns the kind, the field if any, and the message, separated by colons.
func (e *Error) Error() string {
	if e.Field != "" {
		return string(e.Kind) + ": " + e.Field + ": " + e.Message
	}
	return string(e.Kind) + ": " + e.Message
}

// Ran returns whether the work of the failed request was executed.
func (e *Error) Ran() Ran {
	if e.NotRun {
		return RanNo
	}
	return e.Kind.Response().Ran
}

// From returns the Error that err is or wraps, or else an Error of kind Internal with
// the text of err. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errs.IsFunc(err, func(err error) bool {
		found, ok := err.(*Error)
		if ok {
			e = found
		}
		return ok
	}) {
		return e
	}
	return New(Internal, err.Error())
}
