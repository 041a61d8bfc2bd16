package store

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/standin/internal/serve"
)

const (
	pageItems = 500 // largest number of items in one page of a list
	// operatorPrefix is that of the keys that only operators write; their size is not limited.
	operatorPrefix = "op/"
)

// The bodies of requests and responses. Tombstone marks a deleted key.
type (
	item struct {
		Key       string `json:"key"`
		Value     []byte `json:"value"`
		Revision  uint64 `json:"revision"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}
	keyItem struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}
	page struct {
		Items         []item `json:"items"`
		HasMore       bool   `json:"has_more"`
		StoreRevision uint64 `json:"store_revision"`
	}
	events struct {
		Events        []item `json:"events"`
		StoreRevision uint64 `json:"store_revision"`
	}
	txn struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
)

func itemOf(kv platform.KV, deleted bool) item {
	return item{Key: kv.Key, Value: kv.Value, Revision: kv.Revision, Tombstone: deleted}
}

func (s *Store) handle(ctx context.Context, rc *fasthttp.RequestCtx) {
	switch string(rc.Method()) + " " + string(rc.Path()) {
	case "GET /-/kv-key":
		s.handleKey(ctx, rc)
	case "GET /-/kv-range":
		s.handleRange(ctx, rc)
	case "GET /-/kv-watch":
		s.handleWatch(ctx, rc)
	case "POST /-/kv-txn":
		s.handleTxn(ctx, rc)
	default:
		serve.NotFound(rc)
	}
}

func (s *Store) handleKey(ctx context.Context, rc *fasthttp.RequestCtx) {
	kv, revision, err := s.ReadAt(ctx, queryArg(rc, "key"))
	if err == nil && kv.Revision == 0 {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	serve.Reply(rc, keyItem{itemOf(kv, false), revision}, err)
}

func (s *Store) handleRange(ctx context.Context, rc *fasthttp.RequestCtx) {
	kvs, revision, err := s.List(ctx, queryArg(rc, "prefix"))
	p := page{Items: []item{}, StoreRevision: revision}
	after := queryArg(rc, "after")
	for _, kv := range kvs {
		if kv.Key <= after {
			continue
		}
		if len(p.Items) == pageItems {
			p.HasMore = true
			break
		}
		p.Items = append(p.Items, itemOf(kv, false))
	}
	serve.Reply(rc, p, err)
}

func (s *Store) handleWatch(ctx context.Context, rc *fasthttp.RequestCtx) {
	wait := time.Duration(queryUint(rc, "wait_ms")) * time.Millisecond
	changes, revision, err := s.Changes(ctx, queryArg(rc, "prefix"), queryUint(rc, "after"), wait)
	body := events{Events: []item{}, StoreRevision: revision}
	for _, c := range changes {
		body.Events = append(body.Events, itemOf(c.KV, c.Deleted))
	}
	serve.Reply(rc, body, err)
}

func (s *Store) handleTxn(ctx context.Context, rc *fasthttp.RequestCtx) {
	var body txn
	if !serve.Decode(rc, &body) {
		return
	}
	t := platform.Txn{Deletes: body.Deletes}
	for _, e := range body.ExpectedRev {
		t.Expect = append(t.Expect, platform.Expectation{Key: e.Key, Revision: e.Revision})
	}
	for _, w := range body.Writes {
		if len(w.Value) > platform.MaxValueBytes && !strings.HasPrefix(w.Key, operatorPrefix) {
			rc.Error("value exceeds the size limit; nothing was written", fasthttp.StatusRequestEntityTooLarge)
			return
		}
		t.Puts = append(t.Puts, platform.Put{Key: w.Key, Value: w.Value})
	}
	if t.Size() > platform.MaxTxnEntries {
		rc.Error("transaction exceeds the limit on entries; nothing was written", fasthttp.StatusBadRequest)
		return
	}
	revision, err := s.Commit(ctx, t)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		serve.Reply(rc, item{Revision: revision}, err)
		return
	}
	current := page{Items: []item{}}
	for _, kv := range conflict.Items {
		if kv.Revision != 0 {
			current.Items = append(current.Items, itemOf(kv, false))
		}
	}
	serve.ReplyStatus(rc, fasthttp.StatusPreconditionFailed, current)
}

func queryArg(rc *fasthttp.RequestCtx, name string) string {
	return string(rc.QueryArgs().Peek(name))
}

// queryUint returns an unsigned query argument, or 0 if it is absent or malformed.
func queryUint(rc *fasthttp.RequestCtx, name string) uint64 {
	n, err := strconv.ParseUint(queryArg(rc, name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
