package holder

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/version/profile"
)

// longHost makes profiles so large that a page has two of them.
var longHost = strings.Repeat("h", 100<<10)

// content is a version of the operators' document: the priority of each profile by name.
type content map[string]int

// document returns the document as it is decoded from the store: without versions of profiles.
func (c content) document(version uint64) *profile.Document {
	doc := profile.Empty()
	doc.Version, doc.MaxBodyBytes = version, int64(version)
	for name, priority := range c {
		doc.Profiles[name] = profile.Profile{
			Name: name, Host: longHost, Priority: priority, Version: version, Advice: &profile.Advice{EachMs: int64(priority)},
		}
	}
	return doc
}

func contentOf(doc *profile.Document) content {
	c := content{}
	for name := range doc.Profiles {
		c[name] = doc.Profiles[name].Priority
	}
	return c
}

// puller is a process that pulls from another one, page by page.
type puller struct {
	holder   *Holder
	source   int
	assembly *profile.Assembly
}

// pull adds the next page of the source, and puts the document in force that it completes.
func (p *puller) pull(t *rapid.T, source *Holder) {
	since, after := p.assembly.Position()
	page := source.Page(since, after)
	doc, err := p.assembly.Add(&page)
	require.NoError(t, err)
	if doc != nil {
		p.holder.ReplaceByOperators(doc)
		p.assembly = nil
	}
}

// Guards against a process whose document differs from that of the store at the same version,
// after it has pulled the changes from another process that has read other versions, while both
// go on to newer versions between the pages.
func TestPulledDocumentsEqualTheStores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		names := []string{"a", "b", "c", "d", "e"}
		versions := map[uint64]content{0: {}}
		newest := uint64(0)
		pullers := make([]*puller, processes)
		for i := range pullers {
			pullers[i] = &puller{holder: New(clockwork.NewFakeClock())}
		}
		check := func(p *puller) {
			doc := p.holder.Document()
			require.Equal(t, versions[doc.Version], contentOf(doc), "version %d", doc.Version)
			if doc.Version != 0 {
				require.EqualValues(t, doc.Version, doc.MaxBodyBytes)
			}
			for name := range doc.Profiles {
				require.LessOrEqual(t, doc.Profiles[name].Version, doc.Version)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"operator": func(t *rapid.T) {
				next := maps.Clone(versions[newest])
				for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, rapid.ID[string]).Draw(t, "names") {
					if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
						delete(next, name)
					} else {
						next[name] = rapid.IntRange(0, 1).Draw(t, "priority") // profiles change back
					}
				}
				newest += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
				versions[newest] = next
			},
			"read": func(t *rapid.T) {
				p := pullers[rapid.IntRange(0, processes-1).Draw(t, "process")]
				if newest > 0 {
					p.holder.ReplaceByOperators(versions[newest].document(newest))
				}
				check(p)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, processes-1).Draw(t, "process")
				pullers[i] = &puller{holder: New(clockwork.NewFakeClock())}
			},
			"pull": func(t *rapid.T) {
				i := rapid.IntRange(0, processes-1).Draw(t, "process")
				p := pullers[i]
				if p.assembly == nil {
					p.source = (i + rapid.IntRange(1, processes-1).Draw(t, "source")) % processes
					p.assembly = profile.NewAssembly(p.holder.Document())
				}
				source := pullers[p.source].holder
				since, _ := p.assembly.Position()
				if source.Document().Version <= since {
					p.assembly = nil
					return
				}
				before := p.holder.Document().Version
				p.pull(t, source)
				require.GreaterOrEqual(t, p.holder.Document().Version, before)
				check(p)
			},
		})
	})
}

// Guards against changes whose transfer grows with the whole document.
func TestPagesHaveTheChangedProfilesOnly(t *testing.T) {
	source, puller := New(clockwork.NewFakeClock()), New(clockwork.NewFakeClock())
	c := content{}
	for i := range 50 {
		c[fmt.Sprintf("p%d", i)] = i
	}
	source.ReplaceByOperators(c.document(3))
	puller.ReplaceByOperators(c.document(3))
	c["p7"] = 100
	delete(c, "p8")
	source.ReplaceByOperators(c.document(9))
	page := source.Page(3, profile.Cursor{})
	require.Len(t, page.Profiles, 1)
	assembly := profile.NewAssembly(puller.Document())
	doc, err := assembly.Add(&page)
	require.NoError(t, err)
	require.Equal(t, c, contentOf(doc))

	unknown := source.Page(5, profile.Cursor{Version: 5})
	require.Zero(t, unknown.Since, "changes since a version that was never in force here are not known")
}
