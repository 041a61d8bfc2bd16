package settings

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and checks a settings file. The error is of type Errors.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Errors{{File: path, Message: err.Error()}}
	}
	return Parse(path, data)
}

// Parse checks the content of a settings file. Paths in it are relative to the directory
// of name. The error is of type Errors: all unknown keys and all refused values, or
// only the first fault of syntax or type.
func Parse(name string, data []byte) (Settings, error) {
	role, err := roleOf(data)
	if err != nil {
		return Settings{}, decodeErrors(name, err)
	}
	s := Default(role)
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err = decoder.Decode(&s)
	var unknown *toml.StrictMissingError
	if err != nil && !errors.As(err, &unknown) {
		return Settings{}, decodeErrors(name, err)
	}
	found := decodeErrors(name, err)
	where := locate(data)
	problems := check(s, where)
	problems = append(problems, s.resolveFiles(filepath.Dir(name))...)
	for _, p := range problems {
		at := where.find(p.key)
		found = append(found, Error{File: name, Line: at.line, Column: at.column, Key: p.key, Message: p.message})
	}
	if len(found) > 0 {
		return Settings{}, found.sorted()
	}
	return s, nil
}

// Validate checks settings that were built in code. It reads none of the files that
// they name. The error is of type Errors, without positions.
func (s Settings) Validate() error {
	var found Errors
	for _, p := range check(s, nil) {
		found = append(found, Error{Key: p.key, Message: p.message})
	}
	if len(found) > 0 {
		return found
	}
	return nil
}

// roleOf reads only the role, on which the defaults depend.
func roleOf(data []byte) (Role, error) {
	var head struct {
		Role Role `toml:"role"`
	}
	err := toml.Unmarshal(data, &head)
	return head.Role, err
}

func decodeErrors(name string, err error) Errors {
	var unknown *toml.StrictMissingError
	var fault *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var all Errors
		for i := range unknown.Errors {
			all = append(all, decodeError(name, &unknown.Errors[i], "unknown key"))
		}
		return all
	case errors.As(err, &fault):
		return Errors{decodeError(name, fault, strings.TrimPrefix(fault.Error(), "toml: "))}
	}
	return Errors{{File: name, Message: err.Error()}}
}

func decodeError(name string, fault *toml.DecodeError, message string) Error {
	line, column := fault.Position()
	return Error{File: name, Line: line, Column: column, Key: strings.Join(fault.Key(), "."), Message: message}
}

// resolveFiles makes paths absolute, checks that the files are readable, and sets Key.
func (s *Settings) resolveFiles(dir string) []problem {
	var c checker
	for _, f := range []struct {
		key  string
		path *string
	}{
		{"process.key_file", &s.Process.KeyFile},
		{"http.tls_cert", &s.HTTP.TLSCert},
		{"http.tls_key", &s.HTTP.TLSKey},
	} {
		if *f.path == "" {
			continue
		}
		if !filepath.IsAbs(*f.path) {
			*f.path = filepath.Join(dir, *f.path)
		}
		data, err := os.ReadFile(*f.path)
		if err != nil {
			c.refuse(f.key, "cannot be read: %v", err)
			continue
		}
		if f.path == &s.Process.KeyFile {
			s.Process.Key = Secret(strings.TrimSpace(string(data)))
			c.secret("process.key_file", s.Process.Key)
		}
	}
	return c.problems
}
