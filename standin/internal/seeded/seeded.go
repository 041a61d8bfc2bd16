// Package seeded derives independent random sources from one seed.
package seeded

import (
	"hash/fnv"
	"math/rand/v2"
)

// Rand returns a new source that depends only on the seed and the names, in their order.
func Rand(seed uint64, names ...string) *rand.Rand {
	h := fnv.New64a()
	for _, name := range names {
		_, _ = h.Write([]byte(name))
		_, _ = h.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
