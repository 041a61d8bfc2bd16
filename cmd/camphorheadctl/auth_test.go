package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/bench/caller"
	adapter "camphorhead.example/camphorhead/platform"
	"camphorhead.example/camphorhead/process/entry"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/request/routing"
	"camphorhead.example/standin/store"
)

// token returns the settings of a token whose secret equals its name.
func token(name string, role settings.TokenRole, team, franchisee string) settings.Token {
	sum := sha256.Sum256([]byte(name))
	return settings.Token{Name: name, Role: role, Team: team, Franchisee: franchisee, SHA256: hex.EncodeToString(sum[:])}
}

// startEntryWithAuth starts one entry that requires tokens and returns its URL.
func startEntryWithAuth(t *testing.T) string {
	t.Helper()
	st, err := store.New(store.Config{})
	require.NoError(t, err)
	t.Cleanup(st.Close)
	log, err := event.New(io.Discard, "human", "error")
	require.NoError(t, err)
	cfg := settings.Default(settings.RoleEntry)
	cfg.Process.ID, cfg.Process.Region, cfg.Process.FailureDomain = "entry-0", "tunis-north", "ariana"
	cfg.Process.Listen, cfg.HTTP.Listen = "127.0.0.1:0", "127.0.0.1:0"
	cfg.Process.Key = "key of the processes in one test"
	cfg.Auth = settings.Auth{Required: true, Tokens: []settings.Token{
		token("operator", settings.Operator, "", ""),
		token("colour-operator", settings.TeamOperator, "colour", ""),
		token("reader", settings.Reader, "", ""),
		token("caller-f1", settings.Caller, "", "f1"),
		token("caller-f2", settings.Caller, "", "f2"),
	}}
	e := entry.New(cfg, entry.Deps{
		Clock: clockwork.NewRealClock(), Log: log.ForProcess("entry-0", "entry", "tunis-north", "ariana"),
		Store: adapter.NewStore(st.Address(), cfg.Limits.CallTimeout()), Delays: routing.DefaultSettings(0, 0, 0),
	})
	require.NoError(t, e.Start(t.Context()))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), 10*time.Second)
		defer cancel()
		require.NoError(t, e.Stop(ctx))
	})
	require.Eventually(t, e.LeaderReady, 30*time.Second, 20*time.Millisecond)
	return "http://" + e.HTTPAddress()
}

const watchTOML = "kind = \"watch\"\ndeadline_ms = 5000\n[resources]\nmilli_cpu = 100\nmemory_mb = 100\n"

// Guards against a token that permits more than its role, team or franchisee allows,
// and against a refusal that is reported as success.
func TestTokensRestrictCommands(t *testing.T) {
	url := startEntryWithAuth(t)
	runAs := func(token string, args ...string) (int, string) {
		code, out, errOut := execute(t, "", append([]string{"--entry", url, "--token", token}, args...)...)
		return code, out + errOut
	}
	allowed := func(token string, args ...string) string {
		code, output := runAs(token, args...)
		require.Equal(t, exitOK, code, "%s %q: %s", token, args, output)
		return output
	}
	refused := func(kind, token string, args ...string) {
		code, output := runAs(token, args...)
		require.Equal(t, exitFailure, code, "%s %q: %s", token, args, output)
		require.Contains(t, output, kind, "%s %q", token, args)
	}
	shared := writeProfile(t, "name = \"shared\"\n"+watchTOML)
	colour := writeProfile(t, "name = \"colour\"\nteam = \"colour\"\n"+watchTOML)
	ink := writeProfile(t, "name = \"ink\"\nteam = \"ink\"\n"+watchTOML)

	for _, team := range []string{"colour", "ink"} {
		allowed("operator", "team", "set", team, "--milli-cpu", "1000", "--memory-mb", "1000")
	}
	allowed("operator", "profile", "apply", shared)
	allowed("operator", "profile", "apply", ink)
	allowed("colour-operator", "profile", "apply", colour)
	allowed("reader", "profile", "list")

	refused("unauthenticated", "", "status")
	refused("unauthenticated", "unknown", "profile", "list")
	refused("forbidden", "caller-f1", "status")
	refused("forbidden", "reader", "profile", "retire", "shared", "--version", "3")
	refused("forbidden", "reader", "team", "set", "colour", "--weight", "2")
	refused("forbidden", "colour-operator", "profile", "apply", withOtherWeight(t, ink))
	refused("forbidden", "colour-operator", "profile", "apply", withOtherWeight(t, shared))
	refused("forbidden", "colour-operator", "stop", "plan", "--scope", "worker", "--name", "worker-00", "--grace", "1m")
	refused("forbidden", "reader", "request", "--profile", "shared", "--franchisee", "f1", "--key", "k", "x")

	accepted := parse[caller.Job](t, allowed("caller-f1", "--json", "request", "--profile", "shared", "--franchisee", "f1", "--key", "k", "x"))
	allowed("caller-f1", "job", "show", accepted.ID, "--franchisee", "f1")
	refused("not_found", "caller-f2", "job", "show", accepted.ID, "--franchisee", "f2")
	refused("not_found", "caller-f2", "job", "cancel", accepted.ID, "--franchisee", "f1")
	refused("forbidden", "caller-f2", "request", "--profile", "shared", "--franchisee", "f1", "--key", "k2", "x")
}

// withOtherWeight writes a copy of a profile with another weight and returns its path.
func withOtherWeight(t *testing.T, file string) string {
	t.Helper()
	return writeProfile(t, "weight = 9\n"+readFile(t, file))
}
