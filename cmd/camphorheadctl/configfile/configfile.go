// Package configfile reads a configuration from files, as operators write it: TOML files of one
// profile, team or planned stop each, JSON as an entry serves it, or the operators' document of the
// users' platform. It knows where in the files an entry and its fields are.
package configfile

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/check"
	"camphorhead.example/camphorhead/version/profile"
)

// Config is a configuration with the positions of its entries.
type Config struct {
	Document *profile.Document
	Form     check.Form
	// Errors are what the files cannot be decoded as, with unknown keys; Warnings are values that
	// other ones replace.
	Errors, Warnings settings.Errors
	// Complete is set if every file has been decoded.
	Complete bool
	// Settings are the files that are settings of a process.
	Settings []string

	path  string
	whole bool // a file is a whole document
	files int  // that are part of the configuration
	where map[check.Item]place
}

// place is where an entry is. at returns the position of a field, or of the entry for an unknown one.
type place interface {
	at(field string) settings.Error
}

// Load reads a file, or all .toml and .json files of a folder and its subfolders. The error is that
// of reading the files; what they contain never makes Load fail.
func Load(path string) (*Config, error) {
	paths, err := listFiles(path)
	if err != nil {
		return nil, err
	}
	c := &Config{Document: profile.Empty(), Complete: true, path: path, where: map[check.Item]place{}}
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, err
		}
		c.add(p, data)
	}
	return c, nil
}

// Parse is Load for the content of one file.
func Parse(path string, data []byte) *Config {
	c := &Config{Document: profile.Empty(), Complete: true, path: path, where: map[check.Item]place{}}
	c.add(path, data)
	return c
}

// HasEntries reports whether a file is part of the configuration, and not only of the settings.
func (c *Config) HasEntries() bool { return c.files > 0 }

// Locate returns a finding with its position.
func (c *Config) Locate(f check.Finding) settings.Error {
	at := settings.Error{File: c.path, Key: f.Field}
	if p, ok := c.where[f.Item]; ok {
		at = p.at(f.Field)
	}
	at.Message = f.Message
	return at
}

// listFiles returns the files of a path in the order of their names. Hidden files and folders are
// not read, nor are symbolic links to folders.
func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var paths []string
	err = filepath.WalkDir(path, func(p string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case p != path && strings.HasPrefix(entry.Name(), ".") && entry.IsDir():
			return fs.SkipDir
		case strings.HasPrefix(entry.Name(), ".") || !isConfigName(p):
			return nil
		}
		if info, err := os.Stat(p); err != nil || info.IsDir() {
			return err
		}
		paths = append(paths, p)
		return nil
	})
	if err == nil && len(paths) == 0 {
		err = errors.New(path + ": no file whose name ends in .toml or .json")
	}
	slices.Sort(paths)
	return paths, err
}

func isConfigName(path string) bool {
	extension := filepath.Ext(path)
	return extension == ".toml" || extension == ".json"
}

// add adds the content of one file.
func (c *Config) add(path string, data []byte) {
	if isJSON(path, data) {
		c.addJSON(path, data)
	} else {
		c.addTOML(path, data)
	}
}

// isJSON goes by the name of the file, else by its content: no TOML file begins with a brace or with
// a bracket before a brace.
func isJSON(path string, data []byte) bool {
	switch filepath.Ext(path) {
	case ".json":
		return true
	case ".toml":
		return false
	}
	data = bytes.TrimSpace(data)
	if rest, ok := bytes.CutPrefix(data, []byte("[")); ok {
		data = bytes.TrimSpace(rest)
	}
	return bytes.HasPrefix(data, []byte("{"))
}

// join makes a file part of the configuration. A file that is a whole document must be the only one.
func (c *Config) join(path string, whole bool) bool {
	c.files++
	if c.whole || whole && c.files > 1 {
		c.refuse(settings.Error{File: path, Line: 1, Column: 1, Message: "a whole document cannot be combined with other files"})
		return false
	}
	c.whole = whole
	return true
}

// refuse adds an error about a file that is not part of the document then.
func (c *Config) refuse(e ...settings.Error) {
	c.Errors = append(c.Errors, e...)
	c.Complete = false
}

// addEntry adds an entry to one map of the document; another one of the same name is an error. An
// entry without a name is known by the key instead.
func addEntry[V any](c *Config, into map[string]V, item check.Item, value V, at place) {
	if _, exists := into[item.Name]; exists {
		e := at.at("name")
		e.Message = item.Name + " is also defined in " + c.where[item].at("name").File
		c.Errors = append(c.Errors, e)
		return
	}
	into[item.Name] = value
	c.where[item] = at
}
