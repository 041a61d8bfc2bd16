package holder

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/version/profile"
)

// Guards against a process that watches the store from an old position, and reads the whole document
// again, because the confirmation of a newer version seemed to be older than that of the one before.
func TestLaterRevisionConfirmsWhateverItsTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := New(clock)
	for version := uint64(1); version <= 2; version++ {
		doc := profile.Empty()
		doc.Version = version
		h.ReplaceByOperators(doc)
		at := clock.Now().Add(-time.Duration(version) * time.Millisecond)
		h.ConfirmAt(Confirmation{Version: version, Revision: 10 * version, At: at})
		require.Equal(t, Confirmation{Version: version, Revision: 10 * version, At: at}, h.Confirmed())
	}
}

// Guards against a confirmation that comes from a process which has been paused, or was delayed, and
// extends the time for which the version in force needs no other one.
func TestEarlierConfirmationIsIgnored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := New(clock)
	doc := profile.Empty()
	doc.Version = 3
	h.ReplaceByOperators(doc)
	latest := Confirmation{Version: 3, Revision: 20, At: clock.Now()}
	h.ConfirmAt(latest)
	for _, c := range []Confirmation{
		{Version: 3, Revision: 19, At: clock.Now().Add(time.Second)},
		{Version: 3, Revision: 20, At: clock.Now().Add(-time.Second)},
		{Version: 2, Revision: 30, At: clock.Now().Add(time.Second)},
		{Version: 4, Revision: 30, At: clock.Now().Add(time.Second)},
	} {
		h.ConfirmAt(c)
		require.Equal(t, latest, h.Confirmed(), "%+v", c)
	}
}
