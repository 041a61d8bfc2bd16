package profile

import (
	"cmp"
	"slices"

	"github.com/zeebo/errs"
)

// pageBytes is the approximate size of the largest page. Even if it does not compress, a process on
// a link of 10 Mbit/s receives one in 0.2 s, within the timeout of a call.
const pageBytes = 256 << 10

// profileBytes is the approximate encoded size of a profile without its texts.
const profileBytes = 64

// Cursor is a position in the order of Page: by version of the last change, then by name. A profile
// that changes while pages are read moves behind the position and is read again. Versions of
// profiles are those of one source, a process, and so is a position.
type Cursor struct {
	Source  uint64 `msgpack:"s"`
	Version uint64 `msgpack:"v"`
	Name    string `msgpack:"n"`
}

func (c Cursor) compare(o Cursor) int {
	return cmp.Or(cmp.Compare(c.Version, o.Version), cmp.Compare(c.Name, o.Name))
}

// Removal is the removal of a profile by a version.
type Removal struct {
	Version uint64 `msgpack:"v"`
	Name    string `msgpack:"n"`
}

// Page is a part of the changes from version Since of a document to version Version; Since 0
// stands for the empty document. The last page has Rest set.
type Page struct {
	Source   uint64    `msgpack:"o"` // see Cursor
	Since    uint64    `msgpack:"s"`
	Version  uint64    `msgpack:"v"`
	Profiles []Profile `msgpack:"p,omitempty"`
	Rest     *Rest     `msgpack:"r,omitempty"`
}

// Rest is what a document contains besides profiles, and which profiles it does not have any more.
type Rest struct {
	Teams        map[string]Team    `msgpack:"t,omitempty"`
	Stops        map[string]Stop    `msgpack:"s,omitempty"`
	Services     map[string]Service `msgpack:"sv,omitempty"`
	MaxBodyBytes int64              `msgpack:"b,omitempty"`
	Removed      []Removal          `msgpack:"x,omitempty"`
	ProfileCount int                `msgpack:"n"` // of the whole document
}

// Page returns the part after the position of the changes since a version, as known to the source of
// the position. removed are the removals of profiles since then.
func (d *Document) Page(since uint64, after Cursor, removed []Removal) Page {
	var changed []Cursor
	for name := range d.Profiles {
		p := d.Profiles[name]
		at := Cursor{Source: after.Source, Version: p.Version, Name: name}
		if p.Version > since && at.compare(after) > 0 {
			changed = append(changed, at)
		}
	}
	slices.SortFunc(changed, Cursor.compare)
	page := Page{Source: after.Source, Since: since, Version: d.Version}
	bytes := 0
	for _, at := range changed {
		p := d.Profiles[at.Name]
		bytes += profileBytes + len(p.Name) + len(p.Team) + len(p.Service) + len(p.Host) + len(p.Prefix)
		if bytes > pageBytes && len(page.Profiles) > 0 {
			return page
		}
		page.Profiles = append(page.Profiles, p)
	}
	page.Rest = &Rest{
		Teams: d.Teams, Stops: d.Stops, Services: d.Services, MaxBodyBytes: d.MaxBodyBytes,
		Removed: removed, ProfileCount: len(d.Profiles),
	}
	return page
}

// Assembly collects the pages that lead from one document to a newer one. One goroutine uses it.
type Assembly struct {
	base     *Document
	received map[string]Profile
	after    Cursor
}

// NewAssembly returns an assembly without pages, whose changes apply to base.
func NewAssembly(base *Document) *Assembly {
	return &Assembly{base: base, received: map[string]Profile{}}
}

// Position returns the version that the changes apply to, and the position after the last page.
func (a *Assembly) Position() (since uint64, after Cursor) { return a.base.Version, a.after }

// Add adds the next page and returns the newer document if it was the last one, else nil. A page
// of another source, or that applies to the empty document instead, is the first one of its kind and
// discards what was collected before. After an error the assembly is of no use.
func (a *Assembly) Add(p *Page) (*Document, error) {
	if p.Since != a.base.Version {
		if p.Since != 0 {
			return nil, errs.New("page applies to version %d, not to version %d", p.Since, a.base.Version)
		}
		*a = *NewAssembly(Empty())
	}
	if p.Source != a.after.Source {
		*a = *NewAssembly(a.base)
		a.after.Source = p.Source
	}
	for i := range p.Profiles {
		added := p.Profiles[i]
		a.received[added.Name] = added
		a.after = Cursor{Source: p.Source, Version: added.Version, Name: added.Name}
	}
	if p.Rest == nil {
		if len(p.Profiles) == 0 {
			return nil, errs.New("page has no content")
		}
		return nil, nil // more pages follow
	}
	return a.document(p)
}

func (a *Assembly) document(last *Page) (*Document, error) {
	doc := Empty()
	doc.Version, doc.MaxBodyBytes = last.Version, last.Rest.MaxBodyBytes
	for name := range a.base.Profiles {
		doc.Profiles[name] = a.base.Profiles[name]
	}
	for name := range a.received {
		doc.Profiles[name] = a.received[name]
	}
	for _, r := range last.Rest.Removed {
		// A profile with a newer version was added again.
		if doc.Profiles[r.Name].Version < r.Version {
			delete(doc.Profiles, r.Name)
		}
	}
	if len(doc.Profiles) != last.Rest.ProfileCount {
		return nil, errs.New("version %d has %d profiles, the pages lead to %d", last.Version, last.Rest.ProfileCount, len(doc.Profiles))
	}
	if last.Rest.Teams != nil {
		doc.Teams = last.Rest.Teams
	}
	if last.Rest.Stops != nil {
		doc.Stops = last.Rest.Stops
	}
	if last.Rest.Services != nil {
		doc.Services = last.Rest.Services
	}
	return doc, nil
}

// InheritVersions gives the profiles that are the same as in an older document their versions there,
// and all others the version of d. It returns the profiles that d does not have any more. d must not
// be in use yet.
func (d *Document) InheritVersions(older *Document) (removed []Removal) {
	for name, p := range d.Profiles {
		p.Version = d.Version
		if before, ok := older.Profiles[name]; ok && before.sameContent(&p) {
			p.Version = before.Version
		}
		d.Profiles[name] = p
	}
	for name := range older.Profiles {
		if _, ok := d.Profiles[name]; !ok {
			removed = append(removed, Removal{Version: d.Version, Name: name})
		}
	}
	return removed
}

// sameContent reports whether two profiles differ at most in their versions.
func (p *Profile) sameContent(o *Profile) bool {
	if (p.Advice == nil) != (o.Advice == nil) || p.Advice != nil && *p.Advice != *o.Advice {
		return false
	}
	a, b := *p, *o
	a.Version, b.Version = 0, 0
	a.Advice, b.Advice = nil, nil
	return a == b
}
