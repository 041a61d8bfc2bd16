package main

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/connection/message"
	adapter "camphorhead.example/camphorhead/platform"
	"camphorhead.example/camphorhead/process/agent"
	"camphorhead.example/camphorhead/process/boottime"
	"camphorhead.example/camphorhead/process/document"
	"camphorhead.example/camphorhead/process/entry"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/process/term"
)

// newRole returns the configured entry or agent; dropped counts lost log lines by event.
func newRole(cfg settings.Settings, log event.Logger, dropped func() map[string]int64) role {
	if cfg.Role == settings.RoleAgent {
		return agent.New(cfg, agentDeps(cfg, log, dropped))
	}
	return entry.New(cfg, entryDeps(cfg, log, dropped))
}

func agentDeps(cfg settings.Settings, log event.Logger, dropped func() map[string]int64) agent.Deps {
	if cfg.Worker.Protocol != settings.ProtocolPlatform {
		return agent.Deps{Clock: boottime.New(), Log: log, LinesDropped: dropped, Worker: platform.NewHTTPWorker(cfg.Worker.URL)}
	}
	store := adapter.NewStore(addressOf(cfg.Store.URL), cfg.Limits.CallTimeout())
	return agent.Deps{
		Clock: boottime.New(), Log: log, LinesDropped: dropped, Worker: adapter.NewWorker(addressOf(cfg.Worker.URL)),
		ReadLeader: func(ctx context.Context) (message.Leader, error) {
			view, err := term.Read(ctx, store)
			return message.Leader{Term: view.Term, Address: view.Holder.Address}, err
		},
		Registry: func(a *agent.Agent) fasthttp.RequestHandler {
			return adapter.RegistryHandler(a, cfg.Worker.Service)
		},
	}
}

func entryDeps(cfg settings.Settings, log event.Logger, dropped func() map[string]int64) entry.Deps {
	deps := entry.Deps{
		Clock: boottime.New(), Log: log, LinesDropped: dropped, Delays: entry.DefaultDelays(),
		Store: adapter.NewStore(addressOf(cfg.Store.URL), cfg.Limits.CallTimeout()),
	}
	if cfg.Store.Configuration == settings.ConfigurationDocument {
		deps.Document = document.Source{
			Key: adapter.ManifestKey, Prefix: adapter.ManifestPrefix, Decode: adapter.DecodeManifest,
		}
		deps.EvacuationPrefix = adapter.EvacuationPrefix
	}
	if cfg.Advice.Address != "" {
		deps.Advisor = adapter.NewAdvisor(cfg.Advice.Address)
	}
	if cfg.Jobs.Listen != "" {
		deps.JobsHandler = func(e *entry.Entry) fasthttp.RequestHandler { return adapter.JobsHandler(e) }
	}
	return deps
}

// addressOf returns the host and port of a URL that settings.Load has validated.
func addressOf(url string) string {
	_, address, _ := strings.Cut(url, "://")
	return strings.TrimRight(address, "/")
}
