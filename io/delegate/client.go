package delegate

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/io/handshake"
)

// Timeouts of a link.
const (
	dialTimeout = 300 * clock.Millisecond
	// pingTimeout is the maximum time for the answer to a ping on a live link.
	pingTimeout = 100 * clock.Millisecond
)

// Client sends requests to other instances. It keeps a link to each instance that it
// has sent one to.
type Client struct {
	mu    sync.Mutex
	links map[string]*link // by address
}

// NewClient returns a Client that has no links yet.
func NewClient() *Client { return &Client{links: map[string]*link{}} }

// link is a connection to an instance.
type link struct {
	address string
	ready   chan struct{} // closed when conn or dialErr is set
	conn    *websocket.Conn
	dialErr error // why the connection could not be opened

	mu         sync.Mutex
	lastNumber uint64                 // of the latest request
	waiting    map[uint64]chan Answer // of the requests without an answer, by number
	closeErr   error                  // why the link was closed; nil while it is open
	draining   bool                   // the instance accepts no more requests
}

// Do sends a request to the instance at address and waits for its answer. It pings the
// instance after each livenessTimeout without an answer. Do fails with *NotSentError
// when the request has not reached the instance, with *LinkError when the link broke and
// the request may have reached it, and with ctx's error when ctx is done.
func (c *Client) Do(ctx context.Context, address string, r Request, livenessTimeout clock.Duration) (Answer, error) {
	l := c.linkTo(address)
	select {
	case <-l.ready:
	case <-ctx.Done():
		return Answer{}, errors.WithStack(&NotSentError{address, ctx.Err()})
	}
	number, answers, err := l.addRequest()
	if err != nil {
		c.removeLink(l)
		return Answer{}, errors.WithStack(&NotSentError{address, err})
	}
	defer l.removeRequest(number)
	if err := send(context.WithoutCancel(ctx), l.conn, message{Number: number, Request: &r}); err != nil {
		if tooLarge := (*TooLargeError)(nil); errors.As(err, &tooLarge) {
			return Answer{}, errors.WithStack(&NotSentError{address, err})
		}
		c.closeLink(l, err)
		return Answer{}, errors.WithStack(&LinkError{address, err})
	}
	return c.await(ctx, l, number, answers, livenessTimeout)
}

// await waits for the answer to a request on l and pings the instance after each
// livenessTimeout.
func (c *Client) await(ctx context.Context, l *link, number uint64, answers <-chan Answer, livenessTimeout clock.Duration) (Answer, error) {
	liveness := time.NewTimer(livenessTimeout.Std())
	defer liveness.Stop()
	for {
		select {
		case a, ok := <-answers:
			if !ok {
				return Answer{}, errors.WithStack(&LinkError{l.address, l.closeErr})
			}
			return a, nil
		case <-ctx.Done():
			_ = send(context.WithoutCancel(ctx), l.conn, message{Number: number, Cancel: true}) // a broken link cancels the request too
			return Answer{}, errors.WithStack(ctx.Err())
		case <-liveness.C:
			if err := l.ping(ctx); err != nil && ctx.Err() == nil {
				c.closeLink(l, err)
				return Answer{}, errors.WithStack(&LinkError{l.address, err})
			}
			liveness.Reset(livenessTimeout.Std())
		}
	}
}

// linkTo returns the link to address, and starts opening one if there is none.
func (c *Client) linkTo(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil {
		return l
	}
	l := &link{address: address, ready: make(chan struct{}), waiting: map[uint64]chan Answer{}}
	c.links[address] = l
	go c.openLink(l)
	return l
}

// openLink opens l and handles its messages until it ends.
func (c *Client) openLink(l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Std())
	defer cancel()
	conn, _, err := handshake.Dial(ctx, l.address, Path, maxFrameBytes)
	if err != nil {
		l.dialErr = err
		close(l.ready)
		c.removeLink(l)
		return
	}
	l.conn = conn
	close(l.ready)
	c.readAnswers(l)
}

// readAnswers passes answers to the requests waiting for them until the link ends.
func (c *Client) readAnswers(l *link) {
	for {
		_, data, err := l.conn.Read(context.Background())
		if err == nil {
			var m message
			if m, err = decode(data); err == nil {
				l.handle(m)
				continue
			}
		}
		c.closeLink(l, err)
		return
	}
}

// closeLink closes l, so that all requests on it fail with cause.
func (c *Client) closeLink(l *link, cause error) {
	c.removeLink(l)
	_ = l.conn.CloseNow() // the cause is reported instead
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeErr != nil {
		return
	}
	l.closeErr = cause
	for _, answers := range l.waiting {
		close(answers)
	}
	clear(l.waiting) // a message that was read before must not be sent to a closed channel
}

// removeLink removes l from the client, so that the next request opens a new link.
func (c *Client) removeLink(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
}

// addRequest adds a request to the link. It returns its number and the channel that gets
// the answer, which is closed when the link ends.
func (l *link) addRequest() (uint64, <-chan Answer, error) {
	if l.dialErr != nil {
		return 0, nil, l.dialErr
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeErr != nil {
		return 0, nil, l.closeErr
	}
	if l.draining {
		return 0, nil, errors.WithStack(&DrainingError{})
	}
	l.lastNumber++
	answers := make(chan Answer, 1)
	l.waiting[l.lastNumber] = answers
	return l.lastNumber, answers, nil
}

// removeRequest removes a request that needs no answer any more.
func (l *link) removeRequest(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// handle handles a message of the instance.
func (l *link) handle(m message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Drain {
		l.draining = true
	}
	if answers := l.waiting[m.Number]; answers != nil && m.Answer != nil {
		answers <- *m.Answer // does not block: the channel has room for the only answer
		delete(l.waiting, m.Number)
	}
}

func (l *link) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout.Std())
	defer cancel()
	return l.conn.Ping(ctx)
}

// DrainingError reports that an instance accepts no more requests.
type DrainingError struct{}

// Error implements error.
func (*DrainingError) Error() string { return "the instance accepts no more requests" }
