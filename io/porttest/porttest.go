// Package porttest hands out loopback addresses for processes under test.
package porttest

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// The ports lie below the range that the system takes for outgoing connections
// and for port 0, so that none is taken between its choice and its use, also
// while a process is restarted. Each run of a test binary takes one block and
// listens on the first port of it, which keeps other runs out.
const (
	firstPort = 10000
	blockSize = 1000
	blocks    = 20
)

// block is a range of ports that belongs to this run.
type block struct {
	first int
	lock  net.Listener // on the first port; open until the process ends
	last  atomic.Int64 // offset of the port that was handed out last
}

// take returns the block of this run, or nil when all are in use.
var take = sync.OnceValue(func() *block {
	for i := range blocks {
		first := firstPort + i*blockSize
		if l, err := listen(first); err == nil {
			return &block{first: first, lock: l}
		}
	}
	return nil
})

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}

// Address returns a loopback address that is free.
func Address(t *testing.T) string {
	t.Helper()
	return Addresses(t, 1)[0]
}

// Addresses returns n loopback addresses that are free. None is returned twice
// before the block is used up.
func Addresses(t *testing.T, n int) []string {
	t.Helper()
	b := take()
	if b == nil {
		t.Fatal("all blocks of ports are in use")
	}
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries == blockSize {
			t.Fatal("no free port")
		}
		l, err := listen(b.first + 1 + int(b.last.Add(1)%(blockSize-1)))
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}
