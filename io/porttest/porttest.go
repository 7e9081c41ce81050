// Package porttest allocates loopback addresses for processes under test.
package porttest

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// The ports are below the range that the system uses for outgoing connections and for
// port 0, so that no other process gets a port between its allocation and its use, also
// while a process restarts. Each run of a test binary reserves one block by listening
// on the block's first port.
const (
	firstPort = 10000
	blockSize = 1000
	blocks    = 20
)

// portBlock is a range of ports that is reserved by this run.
type portBlock struct {
	first int
	lock  net.Listener // on the first port; open until the process ends
	last  atomic.Int64 // offset of the port that was allocated last
}

// reservedBlock reserves a block for this run at its first call and returns it, or nil
// when all blocks are in use.
var reservedBlock = sync.OnceValue(func() *portBlock {
	for i := range blocks {
		first := firstPort + i*blockSize
		if l, err := listen(first); err == nil {
			return &portBlock{first: first, lock: l}
		}
	}
	return nil
})

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}

// Address returns a free loopback address.
func Address(t *testing.T) string {
	t.Helper()
	return Addresses(t, 1)[0]
}

// Addresses returns n free loopback addresses. No address is returned again until all
// ports of the block have been allocated.
func Addresses(t *testing.T, n int) []string {
	t.Helper()
	b := reservedBlock()
	if b == nil {
		t.Fatal("all blocks of ports are in use")
	}
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries == blockSize {
			t.Fatal("no free port in the block")
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
