package ports

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two test programs that use the same port: each closes the ports
// that it has chosen before its processes listen on them.
func TestTwoProgramsShareNoPort(t *testing.T) {
	var a, b Allocator
	t.Cleanup(func() {
		require.NoError(t, a.Close())
		require.NoError(t, b.Close())
	})
	seen := map[string]bool{}
	for range 3 * blockSize {
		for _, program := range []*Allocator{&a, &b} {
			address, err := program.Free()
			require.NoError(t, err)
			require.False(t, seen[address], address)
			seen[address] = true
		}
	}
}
