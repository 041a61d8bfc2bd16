package entry

import (
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"
)

// requestIDs generates request IDs from a random prefix that is unique to the
// process, and a counter. A random ID per request would cost a system call.
type requestIDs struct {
	prefix string
	last   *atomic.Uint64
}

func newRequestIDs() requestIDs {
	return requestIDs{prefix: uuid.NewString() + "-", last: new(atomic.Uint64)}
}

func (r requestIDs) next() string { return r.prefix + strconv.FormatUint(r.last.Add(1), 36) }
