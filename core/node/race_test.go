//go:build race

package node_test

// The race detector slows a case about tenfold.
func init() { defaultChecks = 5 }
