package platform

import (
	"context"
	"time"
)

// Transfer is what a call has received, also if it has failed. It tells a server that does
// not respond from a response that is too large for the time of the call.
type Transfer struct {
	ReceivedBytes int64         // of the response so far, with its headers
	Duration      time.Duration // from the first received byte to the last
}

type transferKey struct{}

// WithTransfer returns a context whose calls to a Store store their Transfer in t. It is for
// one call at a time.
func WithTransfer(ctx context.Context, t *Transfer) context.Context {
	return context.WithValue(ctx, transferKey{}, t)
}

// RecordTransfer stores t where WithTransfer has asked for it. Clients of a Store call it.
func RecordTransfer(ctx context.Context, t Transfer) {
	if to, ok := ctx.Value(transferKey{}).(*Transfer); ok {
		*to = t
	}
}
