// Package accept provides a listener that goes on accepting connections after errors that
// pass, such as the lack of file descriptors.
package accept

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Pauses after an accept that has failed. The pause doubles with each failure in a row.
const (
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
)

// Listener is a net.Listener whose Accept fails only when the listener is closed or its
// deadline has passed.
type Listener struct {
	net.Listener
	failed func(error)
}

// NewListener returns a Listener that calls failed after each accept that has failed, before
// it tries again.
func NewListener(l net.Listener, failed func(error)) *Listener { return &Listener{l, failed} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err //nolint:wrapcheck // http.Server compares it
		}
		l.failed(err)
		time.Sleep(pause)
	}
}
