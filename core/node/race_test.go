//go:build race

package node_test

// The race detector makes a case about ten times slower.
func init() { defaultChecks = 5 }
