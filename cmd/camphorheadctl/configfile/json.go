package configfile

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"camphorhead.example/camphorhead/platform"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/check"
	"camphorhead.example/camphorhead/version/profile"
)

// jsonPlace is an entry of a JSON file. rename gives the name of a field in the file.
type jsonPlace struct {
	path   string
	found  *jsonPositions
	entry  jsonPath
	rename func(field string) string
}

func (p jsonPlace) at(field string) settings.Error {
	key := p.entry
	if field != "" {
		for _, part := range strings.Split(p.rename(field), ".") {
			key = key.field(part)
		}
	}
	line, column := p.found.find(key)
	return settings.Error{File: p.path, Line: line, Column: column, Key: key.String()}
}

func same(field string) string { return field }

func (c *Config) addJSON(path string, data []byte) {
	var list []json.RawMessage
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &list); err == nil {
		if c.join(path, false) {
			c.addList(path, data, list)
		}
		return
	}
	if err := json.Unmarshal(data, &object); err != nil {
		c.files++
		c.refuseJSON(path, data, err)
		return
	}
	if !c.join(path, true) {
		return
	}
	switch {
	case hasAny(object, "profiles", "teams", "stops"):
		c.addDocument(path, data)
	case hasAny(object, "routes", "services", "limits", "version"):
		c.addManifest(path, data)
	default:
		c.refuse(settings.Error{File: path, Line: 1, Column: 1, Message: "is no configuration: it has no routes and no profiles"})
	}
}

func hasAny(object map[string]json.RawMessage, keys ...string) bool {
	return slices.ContainsFunc(keys, func(key string) bool { _, ok := object[key]; return ok })
}

// addDocument adds a document in the form of profile.Document.
func (c *Config) addDocument(path string, data []byte) {
	var doc profile.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		c.refuseJSON(path, data, err)
		return
	}
	c.Form = check.Snapshot
	c.Document.Version, c.Document.MaxBodyBytes = doc.Version, doc.MaxBodyBytes
	found := c.locateJSON(path, data)
	place := func(kind, key string) jsonPlace {
		return jsonPlace{path, found, jsonPath("").field(kind).field(key), same}
	}
	for _, key := range slices.Sorted(maps.Keys(doc.Profiles)) {
		p := doc.Profiles[key]
		c.checkKey(place("profiles", key), key, &p.Name)
		addEntry(c, c.Document.Profiles, check.Item{Kind: check.KindProfile, Name: key}, p, place("profiles", key))
	}
	for _, key := range slices.Sorted(maps.Keys(doc.Teams)) {
		t := doc.Teams[key]
		c.checkKey(place("teams", key), key, &t.Name)
		addEntry(c, c.Document.Teams, check.Item{Kind: check.KindTeam, Name: key}, t, place("teams", key))
	}
	for _, key := range slices.Sorted(maps.Keys(doc.Stops)) {
		addEntry(c, c.Document.Stops, check.Item{Kind: check.KindStop, Name: key}, doc.Stops[key], place("stops", key))
	}
	for _, key := range slices.Sorted(maps.Keys(doc.Services)) {
		s := doc.Services[key]
		c.checkKey(place("services", key), key, &s.Name)
		addEntry(c, c.Document.Services, check.Item{Kind: check.KindService, Name: key}, s, place("services", key))
	}
	c.where[check.Item{Kind: check.KindDocument}] = jsonPlace{path, found, "", same}
}

// checkKey sets the name of an entry from its key if it is missing.
func (c *Config) checkKey(at jsonPlace, key string, name *string) {
	if *name == "" {
		*name = key
	}
	if *name != key {
		e := at.at("name")
		e.Message = fmt.Sprintf("differs from the key of the entry, %q", key)
		c.Errors = append(c.Errors, e)
	}
}

// addManifest adds the operators' document of the users' platform.
func (c *Config) addManifest(path string, data []byte) {
	doc, err := platform.DecodeManifest(data)
	if err != nil {
		c.refuseJSON(path, data, err)
		return
	}
	routes, services, err := platform.ManifestNames(data)
	if err != nil {
		c.refuseJSON(path, data, err)
		return
	}
	c.Form, c.Document = check.OperatorsDocument, doc
	found := c.locateJSON(path, data)
	c.placeNamed(check.KindProfile, routes, jsonPlace{path, found, "routes", platform.ManifestField})
	c.placeNamed(check.KindService, services, jsonPlace{path, found, "services", same})
	c.where[check.Item{Kind: check.KindDocument}] = jsonPlace{path, found, "", func(field string) string {
		if field == "max_body_bytes" {
			return "limits"
		}
		return field
	}}
}

// placeNamed records the places of a list's entries, of which only the last one of a name counts.
func (c *Config) placeNamed(kind check.Kind, names []string, list jsonPlace) {
	for i, name := range names {
		at := list
		at.entry = list.entry.index(i)
		item := check.Item{Kind: kind, Name: name}
		if earlier, ok := c.where[item]; ok {
			e := earlier.at("name")
			e.Message = fmt.Sprintf("has no effect: %s has the same name", at.entry)
			c.Warnings = append(c.Warnings, e)
		}
		c.where[item] = at
	}
}

// jsonHead holds the keys that tell what an element of a list describes.
type jsonHead struct {
	Name, ID string
	Quota    json.RawMessage
	Scope    json.RawMessage
}

// addList adds a list of profiles, teams or stops.
func (c *Config) addList(path string, data []byte, list []json.RawMessage) {
	found := c.locateJSON(path, data)
	for i, element := range list {
		at := jsonPlace{path, found, jsonPath("").index(i), same}
		key := fmt.Sprintf("%s%s", path, at.entry)
		var head jsonHead
		if err := json.Unmarshal(element, &head); err != nil {
			head = jsonHead{} // decoding it as a profile reports the error
		}
		switch {
		case head.Scope != nil:
			if s, ok := decodeElement[profile.Stop](c, at, element); ok {
				addEntry(c, c.Document.Stops, check.Item{Kind: check.KindStop, Name: cmp.Or(s.ID, key)}, s, at)
			}
		case head.Quota != nil:
			if t, ok := decodeElement[profile.Team](c, at, element); ok {
				addEntry(c, c.Document.Teams, check.Item{Kind: check.KindTeam, Name: cmp.Or(t.Name, key)}, t, at)
			}
		default:
			if p, ok := decodeElement[profile.Profile](c, at, element); ok {
				addEntry(c, c.Document.Profiles, check.Item{Kind: check.KindProfile, Name: cmp.Or(p.Name, key)}, p, at)
			}
		}
	}
}

func decodeElement[V any](c *Config, at jsonPlace, element []byte) (value V, ok bool) {
	if err := json.Unmarshal(element, &value); err != nil {
		var wrongType *json.UnmarshalTypeError
		e := at.at("")
		if errors.As(err, &wrongType) {
			e = at.at(wrongType.Field)
		}
		e.Message = describeJSON(err)
		c.refuse(e)
		return value, false
	}
	return value, true
}

// refuseJSON adds a fault of syntax or type.
func (c *Config) refuseJSON(path string, data []byte, err error) {
	e := settings.Error{File: path, Message: describeJSON(err)}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		e.Line, e.Column = lineOf(data, syntax.Offset-1)
	case errors.As(err, &wrongType):
		e.Key = wrongType.Field
		e.Line, e.Column = lineOf(data, wrongType.Offset-1)
	}
	c.refuse(e)
}

func describeJSON(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("must be %s, not %s", goTypeName(wrongType), wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Error()
	}
	return err.Error()
}

// goTypeName names the expected type as operators write it.
func goTypeName(e *json.UnmarshalTypeError) string {
	switch name := e.Type.Kind().String(); {
	case strings.HasPrefix(name, "uint"):
		return "a number of 0 or more that fits"
	case strings.HasPrefix(name, "int"):
		return "a whole number that fits"
	case strings.HasPrefix(name, "float"):
		return "a number that fits"
	case name == "bool":
		return "true or false"
	case name == "slice":
		return "a list"
	case name == "string":
		return "a string"
	}
	return "an object"
}

// locateJSON returns the positions in a file that has been decoded. A key that is given more than
// once is a warning.
func (c *Config) locateJSON(path string, data []byte) *jsonPositions {
	found := locate(data)
	for _, r := range found.repeated {
		line, column := lineOf(data, r.offset)
		c.Warnings = append(c.Warnings, settings.Error{
			File: path, Line: line, Column: column, Key: r.key.String(), Message: "is given more than once; only the last value counts",
		})
	}
	return found
}
