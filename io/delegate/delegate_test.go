package delegate_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/io/delegate"
)

const patience = 50 * clock.Millisecond

// serve starts an instance that runs searches by run and returns its address.
func serve(t *testing.T, run delegate.RunFunc) (*delegate.Server, *httptest.Server, string) {
	t.Helper()
	s := delegate.NewServer(run)
	h := httptest.NewServer(s)
	t.Cleanup(h.CloseClientConnections)
	return s, h, strings.TrimPrefix(h.URL, "http://")
}

// echo answers with the request's id.
func echo(_ context.Context, s delegate.Search) delegate.Answer {
	return delegate.Answer{State: "complete", Records: []byte(s.RequestID), Digests: []string{"d"}, Missing: 2}
}

// TestAnswersDoNotMix guards against a caller getting the answer to another
// search of the same link.
func TestAnswersDoNotMix(t *testing.T) {
	_, _, address := serve(t, func(ctx context.Context, s delegate.Search) delegate.Answer {
		if s.RequestID == "slow" {
			time.Sleep(80 * time.Millisecond) // longer than the link may be silent
		}
		return echo(ctx, s)
	})
	c := delegate.NewClient()
	slow := make(chan string)
	go func() {
		a, err := c.Do(context.Background(), address, delegate.Search{RequestID: "slow"}, patience)
		if err != nil {
			slow <- err.Error()
			return
		}
		slow <- string(a.Records)
	}()
	for _, id := range []string{"1", "2", "3"} {
		a, err := c.Do(t.Context(), address, delegate.Search{RequestID: id}, patience)
		if err != nil {
			t.Fatal(err)
		}
		want := delegate.Answer{State: "complete", Records: []byte(id), Digests: []string{"d"}, Missing: 2}
		if diff := cmp.Diff(want, a); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	}
	if got := <-slow; got != "slow" {
		t.Errorf("the slow search got %q", got)
	}
}

// TestCancelReachesTheOther guards against an instance that works on after the
// caller has left.
func TestCancelReachesTheOther(t *testing.T) {
	ended := make(chan struct{})
	_, _, address := serve(t, func(ctx context.Context, _ delegate.Search) delegate.Answer {
		<-ctx.Done()
		close(ended)
		return delegate.Answer{}
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := delegate.NewClient().Do(ctx, address, delegate.Search{}, patience); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want canceled", err)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the other instance went on")
	}
}

// TestLostInstance guards against a search that waits for an instance that is
// gone: it must end soon, and say whether the search may have run.
func TestLostInstance(t *testing.T) {
	t.Run("refuses connections", func(t *testing.T) {
		_, err := delegate.NewClient().Do(t.Context(), "127.0.0.1:1", delegate.Search{}, patience)
		var want *delegate.NotSentError
		if !errors.As(err, &want) {
			t.Errorf("error %v, want that it was not sent", err)
		}
	})
	t.Run("resets the link", func(t *testing.T) {
		_, _, target := serve(t, func(ctx context.Context, _ delegate.Search) delegate.Answer {
			<-ctx.Done()
			return delegate.Answer{}
		})
		address, cut := relay(t, target, true)
		time.AfterFunc(50*time.Millisecond, cut)
		_, err := delegate.NewClient().Do(t.Context(), address, delegate.Search{}, 10*clock.Second)
		var want *delegate.LinkError
		if !errors.As(err, &want) {
			t.Errorf("error %v, want a broken link", err)
		}
	})
	t.Run("falls silent", func(t *testing.T) {
		_, _, target := serve(t, echo)
		address, _ := relay(t, target, false)
		started := time.Now()
		_, err := delegate.NewClient().Do(t.Context(), address, delegate.Search{}, patience)
		var want *delegate.LinkError
		if !errors.As(err, &want) {
			t.Errorf("error %v, want a broken link", err)
		}
		if took := time.Since(started); took > 600*time.Millisecond {
			t.Errorf("it took %v to notice", took)
		}
	})
}

// relay returns the address of a relay to target for one connection, and what
// cuts it. It passes the handshake, and what follows only if open is true.
func relay(t *testing.T, target string, open bool) (address string, cut func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		t.Fatal(err)
	}
	cut = func() { _, _ = l.Close(), out.Close() }
	t.Cleanup(cut)
	go func() {
		in, err := l.Accept()
		if err != nil {
			return
		}
		defer in.Close()
		buf := make([]byte, 4096)
		n, _ := in.Read(buf) // the handshake's request
		_, _ = out.Write(buf[:n])
		n, _ = out.Read(buf) // and its answer
		_, _ = in.Write(buf[:n])
		if open {
			go func() { _, _ = io.Copy(out, in) }()
		}
		for {
			n, err := out.Read(buf)
			if err != nil {
				return
			}
			if open {
				_, _ = in.Write(buf[:n])
			}
		}
	}()
	return l.Addr().String(), cut
}

// TestLeavingInstance guards against searches handed to an instance that shuts
// down, and against those that it has accepted being lost.
func TestLeavingInstance(t *testing.T) {
	release := make(chan struct{})
	s, _, address := serve(t, func(ctx context.Context, q delegate.Search) delegate.Answer {
		if q.RequestID == "first" {
			<-release
		}
		return echo(ctx, q)
	})
	c := delegate.NewClient()
	first := make(chan error)
	go func() {
		_, err := c.Do(context.Background(), address, delegate.Search{RequestID: "first"}, 10*clock.Second)
		first <- err
	}()
	time.Sleep(50 * time.Millisecond)
	s.Drain(t.Context())
	time.Sleep(50 * time.Millisecond)
	_, err := c.Do(t.Context(), address, delegate.Search{RequestID: "second"}, patience)
	var want *delegate.NotSentError
	if !errors.As(err, &want) {
		t.Errorf("error %v, want that it was not sent", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Errorf("the accepted search failed: %v", err)
	}
}

var _ http.Handler = (*delegate.Server)(nil)
