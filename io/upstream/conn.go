package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"knapweedstall/core/topology"
)

// dial opens a connection. Both ctx and dialTimeout bound it.
func (p *Pool) dial(ctx context.Context, id topology.TargetID, address string) (*conn, error) {
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Std())
	defer cancel()
	nc, err := p.dialContext(ctx, "tcp", address)
	if lacksDescriptors(err) && p.closeLongestIdle() {
		nc, err = p.dialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	limit := &limitedConn{Conn: nc}
	return &conn{Conn: nc, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes), target: id, opened: p.clock.Now(), idleTimeout: defaultIdleTimeout}, nil
}

// lacksDescriptors reports whether err is due to a lack of file descriptors.
func lacksDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// close closes the connection. It is only called for a connection that is no longer
// used, so an error has no consequence.
func (c *conn) close() { _ = c.Close() }

// usable reports whether the idle connection is open and the target has sent nothing
// on it. Bytes that arrive between answers belong to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && usable
}

var _ net.Conn = (*conn)(nil)
