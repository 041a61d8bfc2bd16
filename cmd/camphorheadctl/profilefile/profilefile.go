// Package profilefile reads profiles from TOML files. A file holds one profile
// with the fields of docs/profiles.md; unknown keys are errors.
package profilefile

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/profile"
)

// File is one profile with the path of its file.
type File struct {
	Path    string
	Profile profile.Profile
}

// Load reads and validates a file, or all .toml files of a directory, ordered by name.
// The error is settings.Errors with the errors of all files.
func Load(path string) ([]File, error) {
	paths, err := listFiles(path)
	if err != nil {
		return nil, settings.Errors{{File: path, Message: err.Error()}}
	}
	var files []File
	var found settings.Errors
	for _, p := range paths {
		file, fileErrors := readFile(p)
		found = append(found, fileErrors...)
		files = append(files, file)
	}
	found = append(found, duplicateNames(files)...)
	if len(found) > 0 {
		return nil, found
	}
	return files, nil
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	paths, err := filepath.Glob(filepath.Join(path, "*.toml"))
	if err == nil && len(paths) == 0 {
		err = errors.New("no file whose name ends in .toml")
	}
	sort.Strings(paths)
	return paths, err
}

func readFile(path string) (File, settings.Errors) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{Path: path}, settings.Errors{{File: path, Message: err.Error()}}
	}
	file := File{Path: path}
	found, ok := Decode(path, data, &file.Profile)
	if !ok {
		return file, found
	}
	for _, v := range file.Profile.Violations() {
		line, column := Locate(data, v.Field)
		found = append(found, settings.Error{File: path, Line: line, Column: column, Key: v.Field, Message: v.Message})
	}
	return file, found
}

// Decode decodes a TOML file and returns an error for each unknown key. If ok is false, it is not
// decoded, and the error is the first fault of syntax or type.
func Decode(path string, data []byte, into any) (found settings.Errors, ok bool) {
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil, true
	}
	var unknown *toml.StrictMissingError
	return decodeErrors(path, err), errors.As(err, &unknown)
}

func decodeErrors(path string, err error) settings.Errors {
	var unknown *toml.StrictMissingError
	var decodeError *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		var all settings.Errors
		for i := range unknown.Errors {
			all = append(all, errorAt(path, &unknown.Errors[i], "unknown key"))
		}
		return all
	case errors.As(err, &decodeError):
		return settings.Errors{errorAt(path, decodeError, strings.TrimPrefix(decodeError.Error(), "toml: "))}
	}
	return settings.Errors{{File: path, Message: err.Error()}}
}

func errorAt(path string, decodeError *toml.DecodeError, message string) settings.Error {
	line, column := decodeError.Position()
	return settings.Error{File: path, Line: line, Column: column, Key: strings.Join(decodeError.Key(), "."), Message: message}
}

// duplicateNames returns an error for each file whose profile name an earlier file has.
func duplicateNames(files []File) settings.Errors {
	var found settings.Errors
	first := map[string]string{}
	for _, f := range files {
		name := f.Profile.Name
		if earlier, ok := first[name]; ok && name != "" {
			found = append(found, settings.Error{File: f.Path, Line: 1, Column: 1, Key: "name", Message: name + " is also defined in " + earlier})
			continue
		}
		first[name] = f.Path
	}
	return found
}
