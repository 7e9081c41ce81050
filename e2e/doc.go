// Package e2e holds the tests that run the whole path in separate processes:
// callers over HTTP, instances, target and platform stand-ins, each started
// from the built binary.
package e2e
