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

const livenessTimeout = 50 * clock.Millisecond

// serve starts a server that runs searches with run and returns its address.
func serve(t *testing.T, run delegate.RunFunc) (*delegate.Server, *httptest.Server, string) {
	t.Helper()
	s := delegate.NewServer(run)
	h := httptest.NewServer(s)
	t.Cleanup(h.CloseClientConnections)
	return s, h, strings.TrimPrefix(h.URL, "http://")
}

// echoID answers with the request's id.
func echoID(_ context.Context, s delegate.Request) delegate.Answer {
	return delegate.Answer{State: "complete", Body: []byte(s.RequestID), Digests: []string{"d"}, Missing: 2}
}

// TestAnswersDoNotMix guards against a search getting the answer to another search of
// the same link.
func TestAnswersDoNotMix(t *testing.T) {
	_, _, address := serve(t, func(ctx context.Context, s delegate.Request) delegate.Answer {
		if s.RequestID == "slow" {
			time.Sleep(80 * time.Millisecond) // longer than livenessTimeout
		}
		return echoID(ctx, s)
	})
	c := delegate.NewClient()
	slow := make(chan string)
	go func() {
		a, err := c.Do(context.Background(), address, delegate.Request{RequestID: "slow"}, livenessTimeout)
		if err != nil {
			slow <- err.Error()
			return
		}
		slow <- string(a.Body)
	}()
	for _, id := range []string{"1", "2", "3"} {
		a, err := c.Do(t.Context(), address, delegate.Request{RequestID: id}, livenessTimeout)
		if err != nil {
			t.Fatal(err)
		}
		want := delegate.Answer{State: "complete", Body: []byte(id), Digests: []string{"d"}, Missing: 2}
		if diff := cmp.Diff(want, a); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	}
	if got := <-slow; got != "slow" {
		t.Errorf("the slow search got %q", got)
	}
}

// TestCancelStopsDelegatedSearch guards against an instance that continues a search
// after the caller has canceled it.
func TestCancelStopsDelegatedSearch(t *testing.T) {
	ended := make(chan struct{})
	_, _, address := serve(t, func(ctx context.Context, _ delegate.Request) delegate.Answer {
		<-ctx.Done()
		close(ended)
		return delegate.Answer{}
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := delegate.NewClient().Do(ctx, address, delegate.Request{}, livenessTimeout); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want canceled", err)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the other instance continued the search for 1s")
	}
}

// TestLostInstance guards against a search that keeps waiting for an instance that can't
// be reached: it must fail soon, and the error must tell whether the search may have
// run.
func TestLostInstance(t *testing.T) {
	t.Run("refuses connections", func(t *testing.T) {
		_, err := delegate.NewClient().Do(t.Context(), "127.0.0.1:1", delegate.Request{}, livenessTimeout)
		var want *delegate.NotSentError
		if !errors.As(err, &want) {
			t.Errorf("error %v, want that it was not sent", err)
		}
	})
	t.Run("resets the link", func(t *testing.T) {
		_, _, target := serve(t, func(ctx context.Context, _ delegate.Request) delegate.Answer {
			<-ctx.Done()
			return delegate.Answer{}
		})
		address, closeProxy := startProxy(t, target, true)
		time.AfterFunc(50*time.Millisecond, closeProxy)
		_, err := delegate.NewClient().Do(t.Context(), address, delegate.Request{}, 10*clock.Second)
		var want *delegate.LinkError
		if !errors.As(err, &want) {
			t.Errorf("error %v, want a broken link", err)
		}
	})
	t.Run("falls silent", func(t *testing.T) {
		_, _, target := serve(t, echoID)
		address, _ := startProxy(t, target, false)
		started := time.Now()
		_, err := delegate.NewClient().Do(t.Context(), address, delegate.Request{}, livenessTimeout)
		var want *delegate.LinkError
		if !errors.As(err, &want) {
			t.Errorf("error %v, want a broken link", err)
		}
		if took := time.Since(started); took > 600*time.Millisecond {
			t.Errorf("the silent link was detected after %v, want at most 600ms", took)
		}
	})
}

// startProxy starts a proxy to target for one connection. It returns the proxy's address
// and a function that closes the proxy. The proxy forwards the WebSocket handshake; it
// forwards the bytes after it only if forward is true.
func startProxy(t *testing.T, target string, forward bool) (address string, closeProxy func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		t.Fatal(err)
	}
	closeProxy = func() { _, _ = l.Close(), out.Close() }
	t.Cleanup(closeProxy)
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
		if forward {
			go func() { _, _ = io.Copy(out, in) }()
		}
		for {
			n, err := out.Read(buf)
			if err != nil {
				return
			}
			if forward {
				_, _ = in.Write(buf[:n])
			}
		}
	}()
	return l.Addr().String(), closeProxy
}

// TestDrainingInstance guards against sending searches to an instance that is shutting
// down, and against losing searches that it has accepted.
func TestDrainingInstance(t *testing.T) {
	release := make(chan struct{})
	s, _, address := serve(t, func(ctx context.Context, q delegate.Request) delegate.Answer {
		if q.RequestID == "first" {
			<-release
		}
		return echoID(ctx, q)
	})
	c := delegate.NewClient()
	first := make(chan error)
	go func() {
		_, err := c.Do(context.Background(), address, delegate.Request{RequestID: "first"}, 10*clock.Second)
		first <- err
	}()
	time.Sleep(50 * time.Millisecond)
	s.Drain(t.Context())
	time.Sleep(50 * time.Millisecond)
	_, err := c.Do(t.Context(), address, delegate.Request{RequestID: "second"}, livenessTimeout)
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
