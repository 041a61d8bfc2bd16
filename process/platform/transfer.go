package platform

import (
	"context"
	"time"
)

// Transfer is what a call has received of the body of its response, also if it has failed. It
// tells a server that does not respond from a response that is too large for the time of the
// call.
type Transfer struct {
	// MaxBytes is set before the call: a larger response fails with ErrTooLarge, before it is
	// received if its size is known. 0: there is no such limit.
	MaxBytes      int64
	ReceivedBytes int64
	Duration      time.Duration // from the headers of the response to the last byte or the failure
}

type transferKey struct{}

// WithTransfer returns a context with which a call to a Store is measured in t. It is for one
// call.
func WithTransfer(ctx context.Context, t *Transfer) context.Context {
	return context.WithValue(ctx, transferKey{}, t)
}

// RequestedTransfer returns the t of WithTransfer; nil if the call is not measured. Clients of a
// Store call it.
func RequestedTransfer(ctx context.Context) *Transfer {
	t, _ := ctx.Value(transferKey{}).(*Transfer)
	return t
}
