package configpeer

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/version/profile"
)

// maxPageBytes bounds a page after it is decompressed.
const maxPageBytes = 1 << 20

// Profiles differ in a few texts only, so that compressed pages are several times smaller. That
// matters where one entry sends them to all others over its own link.
var (
	pageEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(maxPageBytes), zstd.WithLowerEncoderMem(true))
	})
	pageDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPageBytes),
			zstd.WithDecoderLowmem(true))
	})
)

func encodePage(p *profile.Page) ([]byte, error) {
	encoder, err := pageEncoder()
	if err != nil {
		return nil, errs.Wrap(err)
	}
	encoded, err := msgpack.Marshal(p)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return encoder.EncodeAll(encoded, nil), nil
}

func decodePage(data []byte) (*profile.Page, error) {
	decoder, err := pageDecoder()
	if err != nil {
		return nil, errs.Wrap(err)
	}
	encoded, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	var p profile.Page
	if err := body.Unmarshal(encoded, &p); err != nil {
		return nil, err
	}
	return &p, nil
}
