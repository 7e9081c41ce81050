package upstream

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// WriteState tells how far the write of a request was when its answer ended.
type WriteState string

// States of a write.
const (
	WriteDone    WriteState = "done"    // the whole request has been written
	WriteBlocked WriteState = "blocked" // the target has not read the rest
	WriteFailed  WriteState = "failed"  // the connection has failed
)

// requestWrite is the write of a request, which may go on while the answer is read.
type requestWrite struct {
	conn net.Conn
	done chan struct{} // closed when n and err are set
	n    int           // bytes that the connection has accepted
	err  error
}

// startWrite writes message. A large one is written while the answer is read, since a
// target may answer before it has read it.
func startWrite(conn net.Conn, message []byte) *requestWrite {
	w := &requestWrite{conn: conn, done: make(chan struct{})}
	write := func() {
		defer close(w.done)
		w.n, w.err = conn.Write(message)
	}
	if len(message) > largeRequestBytes {
		go write()
	} else {
		write()
	}
	return w
}

// complete reports whether the whole request has been written.
func (w *requestWrite) complete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// notSent reports whether the write has ended and the connection accepted no byte.
func (w *requestWrite) notSent() bool {
	select {
	case <-w.done:
		return w.err != nil && w.n == 0
	default:
		return false
	}
}

// end interrupts the write if it is in progress, and returns its state and, if it has
// failed, its error. A reader of an answer that ends with the connection needs it: the system
// reports the error that ends a connection, such as a reset, to one call only, and when that
// is the write, a read gets an end of file.
func (w *requestWrite) end() (WriteState, error) {
	select {
	case <-w.done:
	default:
		_ = w.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which the write ends too
		<-w.done
	}
	switch {
	case w.err == nil:
		return WriteDone, nil
	case errors.Is(w.err, os.ErrDeadlineExceeded):
		return WriteBlocked, nil
	default:
		return WriteFailed, w.err
	}
}
