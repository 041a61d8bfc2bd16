package profile

import (
	"fmt"

	"camphorhead.example/camphorhead/request/outcome"
)

// ChangeProfile returns the delta that creates or changes a profile. basedOn is the
// version that the operator has edited; 0 means that the profile must not exist. The
// error is an outcome.Conflict if the profile has another version, or an
// outcome.InvalidField if the kind would change or the team does not exist.
func (d *Document) ChangeProfile(p Profile, basedOn uint64) (Delta, error) {
	current, exists := d.Profiles[p.Name]
	if err := checkBasedOn("profile", p.Name, current.Version, exists, basedOn); err != nil {
		return Delta{}, err
	}
	if err := first(d.Contradictions(p)); err != nil {
		return Delta{}, err
	}
	p.Version = d.Version + 1
	return Delta{Profile: &p}, nil
}

// Contradictions returns an outcome.InvalidField for each field of a new or changed profile that
// contradicts the document: its kind would change, or its team does not exist.
func (d *Document) Contradictions(p Profile) []*outcome.Error {
	var v violations
	if current, exists := d.Profiles[p.Name]; exists && current.Kind != p.Kind {
		v.add("kind", "the kind of a profile cannot be changed; create another profile")
	}
	if _, ok := d.Teams[p.Team]; p.Team != "" && !ok {
		v.add("team", "no such team: "+p.Team)
	}
	return v
}

// ChangeTeam is like ChangeProfile, for a team; the error is an outcome.Conflict.
func (d *Document) ChangeTeam(t Team, basedOn uint64) (Delta, error) {
	current, exists := d.Teams[t.Name]
	if err := checkBasedOn("team", t.Name, current.Version, exists, basedOn); err != nil {
		return Delta{}, err
	}
	t.Version = d.Version + 1
	return Delta{Team: &t}, nil
}

// PlanStop returns the delta that adds a planned stop. The error is an
// outcome.Conflict if there is a stop with this ID.
func (d *Document) PlanStop(s Stop) (Delta, error) {
	if _, exists := d.Stops[s.ID]; exists {
		return Delta{}, outcome.Field(outcome.Conflict, "id", "stop "+s.ID+" exists already")
	}
	s.Version = d.Version + 1
	return Delta{Stop: &s}, nil
}

// CancelStop returns the delta that removes a planned stop. The error is an
// outcome.NotFound if there is no stop with this ID.
func (d *Document) CancelStop(id string) (Delta, error) {
	if _, exists := d.Stops[id]; !exists {
		return Delta{}, outcome.Field(outcome.NotFound, "id", "no such stop: "+id)
	}
	return Delta{RemovedStop: id}, nil
}

// checkBasedOn returns an outcome.Conflict unless basedOn is the current version, or 0
// if there is none.
func checkBasedOn(what, name string, current uint64, exists bool, basedOn uint64) error {
	switch {
	case !exists && basedOn == 0, exists && basedOn == current:
		return nil
	case !exists:
		return outcome.Field(outcome.Conflict, "version", fmt.Sprintf("%s %s does not exist, you gave version %d", what, name, basedOn))
	}
	return outcome.Field(outcome.Conflict, "version", fmt.Sprintf("%s %s is at version %d, you gave %d", what, name, current, basedOn))
}
