// Package admin is a client of the administration API of entries.
//
// A call that may have reached an entry is not sent again, so that no change is made
// twice.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/bench/caller"
	"camphorhead.example/camphorhead/request/outcome"
)

// dialTimeout bounds one connection attempt.
const dialTimeout = 2 * time.Second

// Client calls the first entry of a list that accepts a connection. It is safe for
// concurrent use.
type Client struct {
	entries []string
	token   string
	http    *fasthttp.Client
}

// New returns a client of the entries at the given URLs, which it tries in order.
func New(entries []string, token string) (*Client, error) {
	if len(entries) == 0 {
		return nil, errs.New("no entry URL is given")
	}
	c := &Client{token: token, http: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
		Dial:       func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, dialTimeout) },
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
	for _, e := range entries {
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, errs.New("entry %q: must be a URL such as http://127.0.0.1:7180", e)
		}
		c.entries = append(c.entries, strings.TrimRight(e, "/"))
	}
	return c, nil
}

// Each returns one client per entry. They share the connections of c.
func (c *Client) Each() []*Client {
	list := make([]*Client, 0, len(c.entries))
	for _, entry := range c.entries {
		list = append(list, &Client{entries: []string{entry}, token: c.token, http: c.http})
	}
	return list
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one request to the API.
type call struct {
	method string
	path   string
	query  url.Values
	body   any // encoded as JSON; nil for none
	result any // pointer into which the response is decoded
}

// do makes a call and returns the entry's time, in whole seconds. A call that fails
// gives a *caller.Refusal, caller.ErrUnreachable or caller.ErrNoResponse.
func (c *Client) do(ctx context.Context, apiCall call) (time.Time, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.prepare(req, apiCall); err != nil {
		return time.Time{}, err
	}
	if err := c.send(ctx, apiCall, req, resp); err != nil {
		return time.Time{}, err
	}
	if resp.StatusCode()/100 != 2 {
		return time.Time{}, decodeRefusal(resp)
	}
	if err := json.Unmarshal(resp.Body(), apiCall.result); err != nil {
		return time.Time{}, errs.New("decode response of the entry: %w", err)
	}
	at, err := fasthttp.ParseHTTPDate(resp.Header.Peek(fasthttp.HeaderDate))
	if err != nil {
		at = time.Now()
	}
	return at, nil
}

func (c *Client) prepare(req *fasthttp.Request, apiCall call) error {
	req.Header.SetMethod(apiCall.method)
	if c.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	if apiCall.body == nil {
		return nil
	}
	body, err := json.Marshal(apiCall.body)
	if err != nil {
		return errs.Wrap(err)
	}
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	return nil
}

func (c *Client) send(ctx context.Context, apiCall call, req *fasthttp.Request, resp *fasthttp.Response) error {
	var unreachable errs.Group
	for _, entry := range c.entries {
		address := entry + apiCall.path
		if len(apiCall.query) > 0 {
			address += "?" + apiCall.query.Encode()
		}
		req.SetRequestURI(address)
		err := c.sendOnce(ctx, req, resp)
		if err == nil {
			return nil
		}
		if !notSent(err) {
			return errs.Combine(caller.ErrNoResponse, err)
		}
		unreachable.Add(errs.New("%s: %w", entry, err))
	}
	return errs.Combine(caller.ErrUnreachable, unreachable.Err())
}

func (c *Client) sendOnce(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	if deadline, ok := ctx.Deadline(); ok {
		return c.http.DoDeadline(req, resp, deadline)
	}
	return c.http.Do(req, resp)
}

// notSent reports whether the call failed before anything was written.
func notSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op == "dial"
	}
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

func decodeRefusal(resp *fasthttp.Response) error {
	r := &caller.Refusal{Status: resp.StatusCode()}
	if err := json.Unmarshal(resp.Body(), r); err != nil || r.Kind == "" {
		r.Kind, r.Ran = outcome.Internal, outcome.RanMaybe
		r.Message = "status " + strconv.Itoa(r.Status) + " without a description"
	}
	return r
}
