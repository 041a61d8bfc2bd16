package configpeer

import (
	"context"
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

// maxFrameBytes is the largest frame between processes, see package frame.
const maxFrameBytes = 1 << 20

// Guards against a process that never gets a large configuration, because it does not fit into a
// frame, and against profiles that lose the versions on which operators base their changes.
func TestLargeDocumentWithItsOwnVersionsIsPulled(t *testing.T) {
	clock := clockwork.NewFakeClock()
	source, own := holder.New(clock), holder.New(clock)
	doc := profile.Empty()
	doc.Version = 20_000
	for i := range 10_000 {
		name := "profile-with-a-long-name-and-a-number-" + strconv.Itoa(i)
		doc.Profiles[name] = profile.Profile{Name: name, Team: "team-of-" + name, Version: uint64(1 + 2*i)}
	}
	doc.Teams["team"] = profile.Team{Name: "team", Version: 7}
	doc.Stops["stop"] = profile.Stop{ID: "stop", Version: 8}
	source.Replace(doc)
	server, calls := NewServer(source, clock), 0
	puller := Puller{Holder: own, Replace: own.Replace, Call: func(_ context.Context, _ string, pull message.ConfigPull) (message.Config, error) {
		calls++
		reply, err := server.Serve(pull)
		require.Less(t, len(reply.Page), maxFrameBytes/2)
		return reply, err
	}}
	state, advanced, err := puller.Pull(t.Context(), "source")
	require.NoError(t, err)
	require.True(t, advanced)
	require.EqualValues(t, 20_000, state.Version)
	require.Equal(t, doc, own.Document())
	require.Greater(t, calls, 1)

	delta := profile.Delta{Version: 20_001, Team: &profile.Team{Name: "other", Version: 20_001}}
	source.Apply([]profile.Delta{delta})
	calls = 0
	_, advanced, err = puller.Pull(t.Context(), "source")
	require.NoError(t, err)
	require.True(t, advanced)
	require.Equal(t, source.Document(), own.Document())
	require.Equal(t, 1, calls, "a delta is one reply")
}
