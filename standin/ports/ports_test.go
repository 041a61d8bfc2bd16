package ports

import (
	"net"
	"os/exec"
	"sync"
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

// Guards against a chosen port that is still taken: a process that is started
// meanwhile inherits every open listener for a moment.
func TestPortIsFreeWhileProcessesStart(t *testing.T) {
	var a Allocator
	t.Cleanup(func() { require.NoError(t, a.Close()) })
	stop := make(chan struct{})
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.CommandContext(t.Context(), "/bin/true").Run() // only its start matters
				}
			}
		})
	}
	for range 300 {
		address, err := a.Free()
		require.NoError(t, err)
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
	close(stop)
	starting.Wait()
}
