package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// warner collects the warnings about one document.
type warner struct {
	doc   *profile.Document
	found []Finding
}

func (w *warner) warn(kind Kind, name, field, format string, args ...any) {
	w.found = append(w.found, Finding{Item{kind, name}, field, fmt.Sprintf(format, args...)})
}

// active returns the profiles that accept requests, ordered by name.
func (w *warner) active() []profile.Profile {
	var list []profile.Profile
	for _, name := range w.doc.ProfileNames() {
		if p := w.doc.Profiles[name]; !p.Retired {
			list = append(list, p)
		}
	}
	return list
}

type route struct{ host, prefix string }

// routes warns of profiles that Document.Route never selects, or selects by chance.
func (w *warner) routes() {
	byRoute := map[route][]string{}
	active := w.active()
	for i := range active {
		p := &active[i]
		if p.Prefix != "" {
			byRoute[route{p.Host, p.Prefix}] = append(byRoute[route{p.Host, p.Prefix}], p.Name)
		}
	}
	for i := range active {
		p := &active[i]
		switch {
		case p.Prefix == "":
			w.withoutRoute(p)
			continue
		case !strings.HasPrefix(p.Prefix, "/"):
			w.warn(KindProfile, p.Name, "prefix", "never matches: every path begins with /")
			continue
		case p.Host == "":
			w.warn(KindProfile, p.Name, "host", "never matches: the prefix needs a host")
			continue
		}
		if other, ok := otherThan(p.Name, byRoute[route{p.Host, p.Prefix}]); ok {
			w.warn(KindProfile, p.Name, "prefix", "profile %s has the same host and prefix; only one of them gets a call, and which one is not defined", other)
		}
		// The path of a job is the prefix and the ID of the job, so that a longer prefix takes
		// calls from a shorter one only if these differ in the final slash.
		if longer := byRoute[route{p.Host, p.Prefix + "/"}]; len(longer) > 0 {
			w.warn(KindProfile, p.Name, "prefix", "is shadowed: profile %s has the longer prefix %s/", longer[0], p.Prefix)
		}
	}
}

func (w *warner) withoutRoute(p *profile.Profile) {
	switch {
	case p.Host != "":
		w.warn(KindProfile, p.Name, "host", "never matches: the host needs a prefix")
	case p.Kind == job.Pipeline:
		w.warn(KindProfile, p.Name, "prefix", "no call selects the profile: it has no prefix")
	}
}

func otherThan(name string, names []string) (string, bool) {
	for _, other := range names {
		if other != name {
			return other, true
		}
	}
	return "", false
}

// services warns of pools that no profile uses and of profiles whose pool does not exist. A document
// without services does not describe the pools.
func (w *warner) services() {
	if len(w.doc.Services) == 0 {
		return
	}
	used := map[string]bool{}
	for _, p := range w.active() {
		used[p.Service] = true
		if _, ok := w.doc.Services[p.Service]; !ok && p.Service != "" {
			w.warn(KindProfile, p.Name, "service", "no such service: %s", p.Service)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.doc.Services)) {
		if !used[name] {
			w.warn(KindService, name, "", "no profile that accepts requests selects the service")
		}
	}
}

// quotas warns of quotas that no work uses. The quota covers proofs and watches, not checks.
func (w *warner) quotas() {
	used := map[string]bool{}
	for _, p := range w.active() {
		if p.Kind == job.Proof || p.Kind == job.Watch {
			used[p.Team] = true
		}
	}
	for name, t := range w.doc.Teams {
		if t.Quota != (resources.Resources{}) && !used[name] {
			w.warn(KindTeam, name, "quota", "is never used: no proof or watch profile that accepts requests belongs to the team")
		}
	}
}
