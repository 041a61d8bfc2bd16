package configfile

import (
	"cmp"

	"github.com/pelletier/go-toml/v2"

	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/check"
	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/camphorheadctl/profilefile"
)

// tomlPlace is a TOML file of one entry.
type tomlPlace struct {
	path string
	data []byte
}

func (p tomlPlace) at(field string) settings.Error {
	line, column := profilefile.Locate(p.data, field)
	return settings.Error{File: p.path, Line: line, Column: column, Key: field}
}

// tomlHead holds the keys that tell what a TOML file describes. Only settings have a role or a
// process, only a team has a quota, and only a stop a scope or a grace period.
type tomlHead struct {
	Role    any `toml:"role"`
	Process any `toml:"process"`
	Quota   any `toml:"quota"`
	Scope   any `toml:"scope"`
	GraceMs any `toml:"grace_ms"`
}

func (c *Config) addTOML(path string, data []byte) {
	var head tomlHead
	if err := toml.Unmarshal(data, &head); err != nil {
		head = tomlHead{} // decoding it as a profile reports the error
	}
	if head.Role != nil || head.Process != nil {
		c.Settings = append(c.Settings, path)
		return
	}
	if !c.join(path, false) {
		return
	}
	at := tomlPlace{path, data}
	switch {
	case head.Scope != nil || head.GraceMs != nil:
		// The ID of a stop is not known before it is planned.
		if s, ok := decodeTOML[profile.Stop](c, at); ok {
			addEntry(c, c.Document.Stops, check.Item{Kind: check.KindStop, Name: path}, s, at)
		}
	case head.Quota != nil:
		if t, ok := decodeTOML[profile.Team](c, at); ok {
			addEntry(c, c.Document.Teams, check.Item{Kind: check.KindTeam, Name: cmp.Or(t.Name, path)}, t, at)
		}
	default:
		if p, ok := decodeTOML[profile.Profile](c, at); ok {
			addEntry(c, c.Document.Profiles, check.Item{Kind: check.KindProfile, Name: cmp.Or(p.Name, path)}, p, at)
		}
	}
}

func decodeTOML[V any](c *Config, at tomlPlace) (value V, ok bool) {
	found, ok := profilefile.Decode(at.path, at.data, &value)
	if !ok {
		c.refuse(found...)
		return value, false
	}
	c.Errors = append(c.Errors, found...)
	return value, true
}
