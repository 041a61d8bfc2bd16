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

// freezeWindow is longer than toxiproxy takes to put a toxic on open connections.
const freezeWindow = 20 * time.Millisecond

// freezeState says of one direction of one connection whether it is silent.
type freezeState struct{ frozen bool }

// timedFreeze makes the connections that are open when it is added silent;
// connections opened later pass. What is sent meanwhile is lost, or delivered
// late if Deliver is set, also when the sender has closed its side by then.
type timedFreeze struct {
	Until   int64 `json:"until"`   // unix milliseconds
	Deliver int64 `json:"deliver"` // unix milliseconds; 0 means never
}

// delivered counts the chunks that were delivered late.
var delivered atomic.Int64

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
	f.hold(stub, state, release)
}

// hold keeps what arrives until release, and then passes it on.
func (f *timedFreeze) hold(stub *toxics.ToxicStub, state *freezeState, release <-chan time.Time) {
	var held []*stream.StreamChunk
	input := stub.Input
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-input:
			switch {
			case chunk != nil:
				held = append(held, chunk)
			case release == nil:
				stub.Close()
				return
			default:
				input = nil // the sender has closed its side
			}
		case <-release:
			state.frozen = false
			for _, chunk := range held {
				stub.Output <- chunk
				delivered.Add(1)
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

// The two directions of a link, seen from the process that dials.
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

func (l *link) add(t *testing.T, kind, stream, attributes string) {
	t.Helper()
	if l.proxy.Toxics.GetToxic(kind+"-"+stream) != nil {
		return // another fault has it in force
	}
	toxic := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":%s}`, kind, stream, kind, stream, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	require.NoError(t, err)
}

// silence drops all data of old and new connections in the given directions.
func (l *link) silence(t *testing.T, directions ...string) {
	for _, d := range directions {
		l.add(t, "timeout", d, `{"timeout":0}`)
	}
}

// freeze silences the connections that are open now for good; new ones work.
func (l *link) freeze(t *testing.T, directions ...string) {
	until := time.Now().Add(freezeWindow).UnixMilli()
	for _, d := range directions {
		l.add(t, "freeze", d, fmt.Sprintf(`{"until":%d}`, until))
	}
}

// stall holds back what is sent on the connections that are open now, and
// delivers it after d; new connections work.
func (l *link) stall(t *testing.T, direction string, d time.Duration) {
	now := time.Now()
	l.add(t, "freeze", direction, fmt.Sprintf(`{"until":%d,"deliver":%d}`, now.Add(freezeWindow).UnixMilli(), now.Add(d).UnixMilli()))
}

// delay adds a one-way delay in both directions.
func (l *link) delay(t *testing.T, d time.Duration) {
	for _, stream := range []string{sent, received} {
		l.add(t, "latency", stream, fmt.Sprintf(`{"latency":%d}`, d.Milliseconds()))
	}
}

// limit bounds the bandwidth of each direction, in KB/s.
func (l *link) limit(t *testing.T, rate int) {
	for _, stream := range []string{sent, received} {
		l.add(t, "bandwidth", stream, fmt.Sprintf(`{"rate":%d}`, rate))
	}
}

// reset makes old and new connections end with a TCP reset.
func (l *link) reset(t *testing.T) { l.add(t, "reset_peer", sent, `{"timeout":0}`) }

// heal lifts all faults; connections that were silent are closed.
func (l *link) heal() { l.proxy.Toxics.ResetToxics(context.Background()) }
