package target

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// announceTimeout bounds one announcement or withdrawal.
const announceTimeout = time.Second

// Announcement is the body of POST and DELETE /v1/announce at the agent.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// announcer owns the goroutine that repeats the announcement. An empty agent turns it off.
type announcer struct {
	clock    clockwork.Clock
	interval time.Duration
	agent    string
	body     Announcement
	http     *fasthttp.Client
	done     chan struct{}
	once     sync.Once
	wg       sync.WaitGroup
}

func newAnnouncer(config Config, address string) *announcer {
	a := &announcer{
		clock: config.Clock, interval: config.AnnounceInterval, agent: config.AgentAddress,
		body: Announcement{config.Service, address, config.Slots, config.MaxConnections},
		http: &fasthttp.Client{}, done: make(chan struct{}),
	}
	if a.agent == "" {
		return a
	}
	a.wg.Add(1)
	go a.run()
	return a
}

func (a *announcer) run() {
	defer a.wg.Done()
	ticker := a.clock.NewTicker(a.interval)
	defer ticker.Stop()
	for {
		// The next tick repeats a failed announcement.
		_ = a.send(fasthttp.MethodPost, time.Now().Add(announceTimeout))
		select {
		case <-a.done:
			return
		case <-ticker.Chan():
		}
	}
}

func (a *announcer) close() {
	a.once.Do(func() { close(a.done) })
	a.wg.Wait()
}

func (a *announcer) withdraw(ctx context.Context) error {
	if a.agent == "" {
		return nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(announceTimeout)
	}
	return a.send(fasthttp.MethodDelete, deadline)
}

func (a *announcer) send(method string, deadline time.Time) error {
	body, err := json.Marshal(a.body)
	if err != nil {
		return errs.Wrap(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + a.agent + "/v1/announce")
	req.SetBodyRaw(body)
	if err := a.http.DoDeadline(req, resp, deadline); err != nil {
		return errs.Wrap(err)
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return errs.New("target: agent responded with status %d to an announcement or withdrawal", code)
	}
	return nil
}
