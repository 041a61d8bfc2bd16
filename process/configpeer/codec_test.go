package configpeer

import (
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/version/profile"
)

// Guards against a page that differs after it was sent.
func TestPageIsDecodedAsEncoded(t *testing.T) {
	page := profile.Page{Source: 1, Since: 3, Version: 9, Profiles: []profile.Profile{{Name: "p", Priority: 2, Advice: &profile.Advice{EachMs: 5}}}}
	encoded, err := encodePage(&page)
	require.NoError(t, err)
	decoded, err := decodePage(encoded)
	require.NoError(t, err)
	require.Equal(t, page, *decoded)
}

// Guards against a process that fails, or runs out of memory, because of the page of another writer.
func TestOddPagesAreRefused(t *testing.T) {
	encoder, err := zstd.NewWriter(nil)
	require.NoError(t, err)
	for name, data := range map[string][]byte{
		"empty":          nil,
		"not compressed": []byte("page"),
		"not a page":     encoder.EncodeAll([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}, nil), // an array of 4 billion elements
		"too large":      encoder.EncodeAll(make([]byte, 100*maxPageBytes), nil),
	} {
		_, err := decodePage(data)
		require.Error(t, err, name)
	}
}
