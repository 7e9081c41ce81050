package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"

	"knapweedstall/core/topology"
)

// dial opens a connection. The dialer's context bounds it besides its timeout.
func (p *Pool) dial(ctx context.Context, id topology.TargetID, address string) (*conn, error) {
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), target: id, opened: p.clock.Now(), idleFor: unstatedIdle}, nil
}

// close closes the connection. A connection is closed when nothing more is
// expected of it, so an error of closing has no consequence.
func (c *conn) close() { _ = c.Close() }

// quiet reports whether the idle connection is open and has sent nothing. Bytes
// that arrive between answers belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

var _ net.Conn = (*conn)(nil)
