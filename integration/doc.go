// Package integration tests the core as real processes: two entries and three
// agents per deployment, with the stand-ins of the platform in processes of
// their own, connected through proxies that inject network faults.
//
// Tests end with a check of the records of workers, targets and callers, by the
// rules in history_test.go.
package integration
