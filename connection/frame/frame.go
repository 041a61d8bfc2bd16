// Package frame encodes and decodes frames, which carry messages over a byte stream.
//
// Layout: 4 bytes length of everything after this field, 1 byte protocol
// version, 1 byte message kind, 8 bytes call ID, 8 bytes hybrid logical clock,
// body. All numbers are big endian.
package frame

import (
	"encoding/binary"

	"github.com/zeebo/errs"
)

const (
	// Version is the only protocol version that Append writes and Decode accepts.
	Version = 1
	// MaxBytes is the largest accepted value of the length field.
	MaxBytes = 1 << 20
	// HeaderBytes is the size of everything before the body.
	HeaderBytes = lengthBytes + fixedBytes

	lengthBytes = 4
	fixedBytes  = 1 + 1 + 8 + 8 // version, kind, call ID, clock
)

var (
	// ErrTooLarge reports a frame that exceeds MaxBytes.
	ErrTooLarge = errs.New("frame: size exceeds the limit of 1 MiB")
	// ErrTooShort reports a length field too small for the fixed fields.
	ErrTooShort = errs.New("frame: length is less than the 18 bytes of the fixed fields")
	// ErrVersion reports a protocol version other than Version.
	ErrVersion = errs.New("frame: unsupported protocol version")
)

// Frame is one message in transit.
type Frame struct {
	Kind  uint8  // a message.Kind
	Call  uint64 // matches a reply to its request; 0: no reply expected
	Clock uint64 // the sender's hybrid logical clock
	Body  []byte // after Decode a part of the input buffer, valid until that is reused
}

// Append appends the encoded frame to dst. It does not check MaxBytes.
func Append(dst []byte, f Frame) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(fixedBytes+len(f.Body)))
	dst = append(dst, Version, f.Kind)
	dst = binary.BigEndian.AppendUint64(dst, f.Call)
	dst = binary.BigEndian.AppendUint64(dst, f.Clock)
	return append(dst, f.Body...)
}

// Decode reads one frame from the start of buf. It returns the number of bytes
// consumed, which is 0 while the frame is incomplete. After an error, which is
// ErrTooLarge, ErrTooShort or ErrVersion, the stream is unusable.
func Decode(buf []byte) (Frame, int, error) {
	if len(buf) < lengthBytes {
		return Frame{}, 0, nil
	}
	length := int(binary.BigEndian.Uint32(buf))
	if length > MaxBytes {
		return Frame{}, 0, ErrTooLarge
	}
	if length < fixedBytes {
		return Frame{}, 0, ErrTooShort
	}
	if len(buf) < lengthBytes+fixedBytes {
		return Frame{}, 0, nil
	}
	if buf[lengthBytes] != Version {
		return Frame{}, 0, ErrVersion
	}
	if len(buf) < lengthBytes+length {
		return Frame{}, 0, nil
	}
	rest := buf[lengthBytes : lengthBytes+length]
	return Frame{
		Kind:  rest[1],
		Call:  binary.BigEndian.Uint64(rest[2:]),
		Clock: binary.BigEndian.Uint64(rest[10:]),
		Body:  rest[fixedBytes:],
	}, lengthBytes + length, nil
}
