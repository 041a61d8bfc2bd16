// Package body decodes msgpack bodies: those of frames, and the records in the store.
//
// Any of them may come from another writer. The msgpack library allocates slices of
// whatever length an array or a byte string declares and skips unknown fields by
// recursion, so that a record of 12 bytes ends the process with "out of memory" and one
// of 1 MiB grows the stack to 256 MiB. Therefore the structure of a body is checked
// before it is decoded.
package body

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
	"github.com/zeebo/errs"
)

const (
	// MaxDepth is the largest depth of nested arrays and maps; the types of camphorhead
	// need 8.
	MaxDepth = 32
	// MaxElements is the largest number of elements of an array or entries of a map. It is
	// the largest number of tasks of a job.
	MaxElements = 1 << 16
)

// Class is the error class of this package.
var Class = errs.Class("body")

// Unmarshal decodes one value into v, which it may have changed when it returns an error.
func Unmarshal(data []byte, v any) error {
	if err := check(data); err != nil {
		return err
	}
	return Class.Wrap(msgpack.Unmarshal(data, v))
}

// scanner reads the structure of a body. depth is the number of open arrays and maps,
// left the number of values that each still lacks.
type scanner struct {
	data  []byte
	depth int
	left  [MaxDepth + 1]int
}

// check returns an error unless data begins with one complete value within the limits.
func check(data []byte) error {
	s := scanner{data: data}
	s.left[0] = 1
	for {
		for s.left[s.depth] == 0 {
			if s.depth == 0 {
				return nil
			}
			s.depth--
		}
		s.left[s.depth]--
		if err := s.value(); err != nil {
			return err
		}
	}
}

// value reads one value, of an array or a map only the header.
func (s *scanner) value() error {
	code, err := s.number(1)
	if err != nil {
		return err
	}
	c := byte(code)
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return nil
	case msgpcode.IsFixedMap(c):
		return s.open(uint64(c&msgpcode.FixedMapMask), 2)
	case msgpcode.IsFixedArray(c):
		return s.open(uint64(c&msgpcode.FixedArrayMask), 1)
	case msgpcode.IsFixedString(c):
		return s.skip(uint64(c & msgpcode.FixedStrMask))
	}
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		return s.skip(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return s.skip(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return s.skip(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return s.skip(8)
	case msgpcode.FixExt1, msgpcode.FixExt2, msgpcode.FixExt4, msgpcode.FixExt8, msgpcode.FixExt16:
		return s.skip(1 + 1<<(c-msgpcode.FixExt1))
	}
	return s.sized(c)
}

// sized reads a value whose length follows its code.
func (s *scanner) sized(c byte) error {
	width := 0
	switch c {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		width = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		width = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32, msgpcode.Array32, msgpcode.Map32:
		width = 4
	default:
		return Class.New("unknown code %#x", c)
	}
	length, err := s.number(width)
	if err != nil {
		return err
	}
	switch c {
	case msgpcode.Array16, msgpcode.Array32:
		return s.open(length, 1)
	case msgpcode.Map16, msgpcode.Map32:
		return s.open(length, 2)
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		length++ // the type of the extension
	}
	return s.skip(length)
}

// open begins an array or a map; each of its elements consists of a number of values.
func (s *scanner) open(elements uint64, values int) error {
	switch {
	case s.depth == MaxDepth:
		return Class.New("nested deeper than %d levels", MaxDepth)
	case elements > MaxElements || elements*uint64(values) > uint64(len(s.data)):
		return Class.New("array or map declares %d elements, more than the limit or the remaining bytes", elements)
	}
	s.depth++
	s.left[s.depth] = int(elements) * values
	return nil
}

func (s *scanner) skip(n uint64) error {
	if n > uint64(len(s.data)) {
		return Class.New("value of %d bytes exceeds the remaining %d", n, len(s.data))
	}
	s.data = s.data[n:]
	return nil
}

// number reads a big-endian number of 1, 2 or 4 bytes.
func (s *scanner) number(width int) (uint64, error) {
	at := s.data
	if err := s.skip(uint64(width)); err != nil {
		return 0, err
	}
	switch width {
	case 1:
		return uint64(at[0]), nil
	case 2:
		return uint64(binary.BigEndian.Uint16(at)), nil
	}
	return uint64(binary.BigEndian.Uint32(at)), nil
}
