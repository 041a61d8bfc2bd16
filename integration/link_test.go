package integration

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// freezeWindow is longer than toxiproxy takes to add a toxic to open connections.
const freezeWindow = 20 * time.Millisecond

// freezeState is the state of one direction of one connection.
type freezeState struct{ frozen bool }

// timedFreeze is a toxic that blocks the connections that are open when it is added;
// connections opened after Until pass. What is sent on a blocked one is dropped, or
// delivered at Deliver if that is set, also if the sender has closed its side by then.
type timedFreeze struct {
	Until   int64 `json:"until"`   // unix milliseconds
	Deliver int64 `json:"deliver"` // unix milliseconds; 0 means never
	// Silent keeps a blocked connection open when the other side closes it, as if that side's
	// host had failed.
	Silent bool `json:"silent"`
}

// deliveredLate counts the chunks that a timedFreeze has delivered.
var deliveredLate atomic.Int64

// NewState implements toxics.StatefulToxic.
func (*timedFreeze) NewState() any { return &freezeState{} }

// Pipe implements toxics.Toxic.
func (f *timedFreeze) Pipe(stub *toxics.ToxicStub) {
	state := stub.State.(*freezeState)
	state.frozen = state.frozen || time.Now().UnixMilli() < f.Until
	if !state.frozen {
		(&toxics.NoopToxic{}).Pipe(stub)
		return
	}
	var release <-chan time.Time
	if f.Deliver != 0 {
		release = time.After(time.Until(time.UnixMilli(f.Deliver)))
	}
	f.buffer(stub, state, release)
}

// buffer keeps the received chunks and forwards them at release; nil drops them.
func (f *timedFreeze) buffer(stub *toxics.ToxicStub, state *freezeState, release <-chan time.Time) {
	var chunks []*stream.StreamChunk
	input := stub.Input
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-input:
			switch {
			case chunk != nil:
				chunks = append(chunks, chunk)
			case release == nil && !f.Silent:
				stub.Close()
				return
			default:
				input = nil // the sender has closed its side
			}
		case <-release:
			state.frozen = false
			for _, chunk := range chunks {
				stub.Output <- chunk
				deliveredLate.Add(1)
			}
			if input == nil {
				stub.Close()
				return
			}
			(&toxics.NoopToxic{}).Pipe(stub)
			return
		}
	}
}

func init() { toxics.Register("freeze", &timedFreeze{}) }

// The directions of a link, as seen from the process that dials.
const (
	sent     = "upstream"
	received = "downstream"
)

// link is a proxy between one process and one address that it dials.
type link struct {
	proxy  *toxiproxy.Proxy
	listen string
}

// newLink starts a proxy that ends with the test.
func newLink(t *testing.T, server *toxiproxy.ApiServer, upstream string) *link {
	listen := freeAddress(t)
	proxy := toxiproxy.NewProxy(server, listen+"-"+upstream, listen, upstream)
	require.NoError(t, proxy.Start())
	t.Cleanup(proxy.Stop)
	return &link{proxy: proxy, listen: listen}
}

func newProxyServer() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
}

func (l *link) addToxic(t *testing.T, kind, stream, attributes string) {
	t.Helper()
	if l.proxy.Toxics.GetToxic(kind+"-"+stream) != nil {
		return // another fault has added it
	}
	toxic := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":%s}`, kind, stream, kind, stream, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	require.NoError(t, err)
}

// blackhole drops all data of open and new connections in the given directions.
func (l *link) blackhole(t *testing.T, directions ...string) {
	for _, d := range directions {
		l.addToxic(t, "timeout", d, `{"timeout":0}`)
	}
}

// freeze blocks the open connections permanently; new ones work.
func (l *link) freeze(t *testing.T, directions ...string) {
	until := time.Now().Add(freezeWindow).UnixMilli()
	for _, d := range directions {
		l.addToxic(t, "freeze", d, fmt.Sprintf(`{"until":%d}`, until))
	}
}

// silence is freeze that does not pass on either when a side closes a blocked connection.
// Connections that are opened within window are blocked as well.
func (l *link) silence(t *testing.T, window time.Duration, directions ...string) {
	until := time.Now().Add(window).UnixMilli()
	for _, d := range directions {
		l.addToxic(t, "freeze", d, fmt.Sprintf(`{"until":%d,"silent":true}`, until))
	}
}

// stall buffers what is sent on the open connections and delivers it after d; new ones
// work.
func (l *link) stall(t *testing.T, direction string, d time.Duration) {
	now := time.Now()
	l.addToxic(t, "freeze", direction, fmt.Sprintf(`{"until":%d,"deliver":%d}`, now.Add(freezeWindow).UnixMilli(), now.Add(d).UnixMilli()))
}

// hold buffers what is sent in both directions, also on connections that are opened meanwhile, and
// delivers it after d, as a partition between two hosts does.
func (l *link) hold(t *testing.T, d time.Duration) {
	until := time.Now().Add(d).UnixMilli()
	for _, direction := range []string{sent, received} {
		l.addToxic(t, "freeze", direction, fmt.Sprintf(`{"until":%d,"deliver":%d}`, until, until))
	}
}

// delay adds a one-way delay in both directions.
func (l *link) delay(t *testing.T, d time.Duration) {
	for _, stream := range []string{sent, received} {
		l.addToxic(t, "latency", stream, fmt.Sprintf(`{"latency":%d}`, d.Milliseconds()))
	}
}

// limitBandwidth sets the bandwidth of each direction, in KB/s.
func (l *link) limitBandwidth(t *testing.T, rate int) {
	for _, stream := range []string{sent, received} {
		l.addToxic(t, "bandwidth", stream, fmt.Sprintf(`{"rate":%d}`, rate))
	}
}

// reset ends open and new connections with a TCP reset.
func (l *link) reset(t *testing.T) { l.addToxic(t, "reset_peer", sent, `{"timeout":0}`) }

// heal removes all faults; connections that were blocked are closed.
func (l *link) heal() { l.proxy.Toxics.ResetToxics(context.Background()) }
