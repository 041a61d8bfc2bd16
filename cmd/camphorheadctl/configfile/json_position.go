package configfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// jsonPath is the path of a value in a JSON file. Its parts are separated by a character that cannot
// stand unescaped in a key, so that no two paths are the same.
type jsonPath string

const pathSeparator = "\x00"

func (p jsonPath) field(name string) jsonPath {
	name = strings.ReplaceAll(name, pathSeparator, "\uFFFD")
	if p == "" {
		return jsonPath(name)
	}
	return p + pathSeparator + jsonPath(name)
}

func (p jsonPath) index(i int) jsonPath {
	return p + jsonPath(fmt.Sprintf(pathSeparator+"[%d]", i))
}

// parent returns the path of the enclosing value; ok is false at the top level.
func (p jsonPath) parent() (parent jsonPath, ok bool) {
	i := strings.LastIndex(string(p), pathSeparator)
	if i < 0 {
		return "", p != ""
	}
	return p[:i], true
}

// String returns the path in the form a.b[0].c.
func (p jsonPath) String() string {
	text := strings.ReplaceAll(string(p), pathSeparator+"[", "[")
	return strings.ReplaceAll(text, pathSeparator, ".")
}

// jsonPositions holds the offset of each key and each element of a list in a JSON file.
type jsonPositions struct {
	data     []byte
	offsets  map[jsonPath]int64
	repeated []repeatedKey
}

type repeatedKey struct {
	key    jsonPath
	offset int64
}

// locate returns the positions in a valid JSON file.
func locate(data []byte) *jsonPositions {
	p := &jsonPositions{data: data, offsets: map[jsonPath]int64{}}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber() // a number may be beyond the range of float64
	p.value(decoder, "")
	return p
}

// value reads one value, and reports whether it could. The nesting of a valid file is bounded by
// encoding/json.
func (p *jsonPositions) value(decoder *json.Decoder, at jsonPath) bool {
	token, err := decoder.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		for decoder.More() {
			offset := p.next(decoder)
			key, err := decoder.Token()
			name, ok := key.(string)
			if err != nil || !ok {
				return false
			}
			path := at.field(name)
			if _, exists := p.offsets[path]; exists {
				p.repeated = append(p.repeated, repeatedKey{path, offset})
			}
			p.offsets[path] = offset
			if !p.value(decoder, path) {
				return false
			}
		}
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			path := at.index(i)
			p.offsets[path] = p.next(decoder)
			if !p.value(decoder, path) {
				return false
			}
		}
	default:
		return true
	}
	_, err = decoder.Token() // the closing delimiter
	return err == nil
}

// next returns the offset of the next token.
func (p *jsonPositions) next(decoder *json.Decoder) int64 {
	offset := decoder.InputOffset()
	for offset < int64(len(p.data)) && strings.IndexByte(" \t\r\n,:", p.data[offset]) >= 0 {
		offset++
	}
	return offset
}

// find returns the line and column of a value, or of the innermost enclosing one that is known.
func (p *jsonPositions) find(at jsonPath) (line, column int) {
	for ok := true; ok; at, ok = at.parent() {
		if offset, found := p.offsets[at]; found {
			return lineOf(p.data, offset)
		}
	}
	return 1, 1
}

// lineOf returns the line and column of an offset, both from 1.
func lineOf(data []byte, offset int64) (line, column int) {
	before := data[:min(max(offset, 0), int64(len(data)))]
	return bytes.Count(before, []byte("\n")) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}
