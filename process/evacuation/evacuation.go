// Package evacuation keeps the records of the failure domains that operators have emptied: one key
// in the store for each. A record is in force from the next read of the leader, which orders no
// run at a worker of the domain until the record has been removed.
package evacuation

import (
	"context"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/platform"
)

// Class is the class of the errors of this package.
var Class = errs.Class("evacuation")

// DefaultPrefix is the prefix of the keys in camphorhead's own records.
const DefaultPrefix = "evacuate/"

// Records reads and writes the records in the store, from any goroutine.
type Records struct {
	store  platform.Store
	prefix string
}

// NewRecords returns the records whose keys are prefix and the name of the failure domain.
func NewRecords(store platform.Store, prefix string) *Records {
	return &Records{store: store, prefix: prefix}
}

// List returns the failure domains that are being evacuated, in the order of their names.
func (r *Records) List(ctx context.Context) ([]string, error) {
	items, _, err := r.store.List(ctx, r.prefix)
	if err != nil {
		return nil, err
	}
	domains := make([]string, 0, len(items))
	for _, kv := range items {
		if domain := strings.TrimPrefix(kv.Key, r.prefix); domain != "" {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains, nil
}

// Begin records the evacuation of a failure domain. It is idempotent. After platform.ErrUncertain
// the record may exist or appear later.
func (r *Records) Begin(ctx context.Context, domain string) error {
	_, err := r.store.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: r.prefix + domain, Value: []byte{1}}}})
	return Class.Wrap(err)
}

// End removes the record of a failure domain, with the errors of Begin.
func (r *Records) End(ctx context.Context, domain string) error {
	_, err := r.store.Commit(ctx, platform.Txn{Deletes: []string{r.prefix + domain}})
	return Class.Wrap(err)
}
