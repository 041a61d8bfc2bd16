package main

import (
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"camphorhead.example/bench/caller"
)

// maxBodyBytes is the default and the upper limit of http.max_body_bytes.
const maxBodyBytes = 256 << 10

// requestCommand sends one request.
type requestCommand struct {
	app *app

	Profile    string `long:"profile" required:"yes" description:"profile of the request"`
	Franchisee string `long:"franchisee" required:"yes" description:"franchisee who sends it"`
	Key        string `long:"key" description:"request key; needed unless the request is an idempotent check"`
	DeadlineMs int64  `long:"deadline-ms" description:"deadline, at most that of the profile, which is the default"`
	Idempotent bool   `long:"idempotent" description:"the request may run more than once"`
	Args       struct {
		Body string `positional-arg-name:"BODY" description:"body; without it, or for -, stdin is read"`
	} `positional-args:"yes"`
}

func (a *app) addRequest(parent *flags.Command) error {
	_, err := parent.AddCommand("request", "send one request",
		"Sends one request. Prints the response to a check, or the accepted job of a proof or watch.", &requestCommand{app: a})
	return err
}

// responseOutput is the JSON form of the response to a check.
type responseOutput struct {
	RequestID string `json:"request_id"`
	Body      string `json:"body"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	if c.DeadlineMs < 0 {
		return usageError.New("--deadline-ms must not be negative")
	}
	body, err := c.body()
	if err != nil {
		return err
	}
	client, err := c.app.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := c.app.withTimeout(c.app.options.Timeout)
	defer cancel()
	response, err := client.Submit(ctx, caller.Request{
		Profile: c.Profile, Franchisee: c.Franchisee, Key: c.Key, Idempotent: c.Idempotent, Body: body,
		Deadline: time.Duration(c.DeadlineMs) * time.Millisecond,
	})
	if err != nil {
		return c.app.handleError(err)
	}
	return c.print(response)
}

func (c *requestCommand) body() ([]byte, error) {
	if c.Args.Body != "" && c.Args.Body != "-" {
		return []byte(c.Args.Body), nil
	}
	body, err := io.ReadAll(io.LimitReader(c.app.in, maxBodyBytes+1))
	if err != nil {
		return nil, errs.New("read body from stdin: %w", err)
	}
	if len(body) > maxBodyBytes {
		return nil, usageError.New("the body is longer than %d bytes", maxBodyBytes)
	}
	return body, nil
}

func (c *requestCommand) print(response caller.Response) error {
	switch {
	case response.Job != nil:
		return c.app.printJob(*response.Job)
	case c.app.options.JSON:
		return c.app.printJSON(responseOutput{response.RequestID, string(response.Body)})
	}
	_, err := fmt.Fprintf(c.app.out, "%s\n", response.Body)
	return err
}
