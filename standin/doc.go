// Package standin and the packages below it are fakes (stand-ins) of the platform for tests.
//
// The store, each worker and each target serve HTTP on one loopback listener and can also
// be called as Go values in the same process. A worker drives the timers of its tasks from
// one goroutine over a heap of deadlines.
package standin

import "camphorhead.example/camphorhead/process/lockrank"

// Rank is the rank of every lock of a stand-in. It is below all ranks of camphorhead, so a
// build with -race panics if camphorhead calls a stand-in in its process while holding a
// lock. A stand-in never holds two of its locks at once.
const Rank lockrank.Rank = 1
