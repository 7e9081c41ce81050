// Package e2e holds the tests that run the whole path in separate processes:
// callers over HTTP, instances, target and platform stand-ins.
package e2e
