package worker_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/standin/worker"
)

// Guards against tests of departures in which the worker goes on announcing that it is ready, or
// its agent is not told that it has left.
func TestLeavingWorkerDrainsAndWithdraws(t *testing.T) {
	calls := make(chan string, 100)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		_ = fasthttp.Serve(listener, func(rc *fasthttp.RequestCtx) {
			calls <- string(rc.Method()) + " " + string(rc.Path()) + " " + string(rc.PostBody())
		})
	}()
	w, err := worker.New(worker.Config{Name: "w1", Capacity: resources.Resources{MilliCPU: 1000, MemoryMB: 100}, AnnounceInterval: time.Hour})
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Announce(context.Background(), listener.Addr().String(), "shade-lab")
	}()
	require.Contains(t, <-calls, `"state":"ready"`)
	w.Drain(time.Minute)
	require.Contains(t, <-calls, `"state":"draining"`)
	w.Leave()
	require.Equal(t, "DELETE /-/instances/w1 ", <-calls)
	<-ended
}
