package accept_test

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"knapweedstall/io/accept"
)

// failingListener fails with the errors, one after the other, and then accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// TestAcceptOutlastsErrors guards against a listener that ends for good because of an error
// that passes, and against one that does not end when it is closed.
func TestAcceptOutlastsErrors(t *testing.T) {
	wrap := func(err error) error { return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)} }
	passing := []error{wrap(syscall.EMFILE), wrap(syscall.ENFILE), wrap(syscall.ECONNABORTED), wrap(syscall.ENOBUFS), wrap(syscall.ENOMEM)}
	var failed []error
	l := accept.NewListener(&failingListener{errs: passing}, func(err error) { failed = append(failed, err) })
	if _, err := l.Accept(); err != nil {
		t.Errorf("accepting ended with %v", err)
	}
	if diff := cmp.Diff(passing, failed, cmpopts.EquateErrors()); diff != "" {
		t.Errorf("errors that are reported (-want +got):\n%s", diff)
	}
	for _, last := range []error{net.ErrClosed, os.ErrDeadlineExceeded} {
		l := accept.NewListener(&failingListener{errs: []error{wrap(last)}}, func(error) {})
		if _, err := l.Accept(); err == nil {
			t.Errorf("accepting goes on after %v", last)
		}
	}
}
