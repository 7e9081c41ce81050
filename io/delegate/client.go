package delegate

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
)

// Times of a link.
const (
	dialTimeout = 300 * clock.Millisecond
	// pingTimeout is how long a live link takes to answer a ping at most.
	pingTimeout = 100 * clock.Millisecond
)

// Client hands searches to other instances. It keeps a link to each instance
// that it has used.
type Client struct {
	mu    sync.Mutex
	links map[string]*link // by address
}

// NewClient returns a Client without links.
func NewClient() *Client { return &Client{links: map[string]*link{}} }

// link is a connection to an instance.
type link struct {
	address string
	ready   chan struct{} // closed when the connection is open or has failed
	conn    *websocket.Conn
	failed  error

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan Answer
	ended   error // why no answer will come; nil while the link is up
	leaving bool
}

// Do hands a search to the instance at address and waits for its answer. When
// it takes longer than patience, the link must prove that it is alive. Do fails
// with *NotSentError when the search has not reached the instance, with
// *LinkError when it may have, and with ctx's error.
func (c *Client) Do(ctx context.Context, address string, s Search, patience clock.Duration) (Answer, error) {
	l := c.link(address)
	select {
	case <-l.ready:
	case <-ctx.Done():
		return Answer{}, errors.WithStack(&NotSentError{address, ctx.Err()})
	}
	number, answers, err := l.begin()
	if err != nil {
		c.drop(l)
		return Answer{}, errors.WithStack(&NotSentError{address, err})
	}
	defer l.end(number)
	if err := send(context.WithoutCancel(ctx), l.conn, message{Number: number, Search: &s}); err != nil {
		c.close(l, err)
		return Answer{}, errors.WithStack(&LinkError{address, err})
	}
	return c.await(ctx, l, number, answers, patience)
}

func (c *Client) await(ctx context.Context, l *link, number uint64, answers <-chan Answer, patience clock.Duration) (Answer, error) {
	late := time.NewTimer(patience.Std())
	defer late.Stop()
	for {
		select {
		case a, ok := <-answers:
			if !ok {
				return Answer{}, errors.WithStack(&LinkError{l.address, l.ended})
			}
			return a, nil
		case <-ctx.Done():
			_ = send(context.WithoutCancel(ctx), l.conn, message{Number: number, Cancel: true}) // a broken link cancels too
			return Answer{}, errors.WithStack(ctx.Err())
		case <-late.C:
			if err := l.ping(ctx); err != nil && ctx.Err() == nil {
				c.close(l, err)
				return Answer{}, errors.WithStack(&LinkError{l.address, err})
			}
			late.Reset(patience.Std())
		}
	}
}

// link returns the link to address, and opens it if there is none.
func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil {
		return l
	}
	l := &link{address: address, ready: make(chan struct{}), waiting: map[uint64]chan Answer{}}
	c.links[address] = l
	go c.open(l)
	return l
}

func (c *Client) open(l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Std())
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+l.address+Path, nil) //nolint:bodyclose // Dial closes it
	if err != nil {
		l.failed = err
		close(l.ready)
		c.drop(l)
		return
	}
	conn.SetReadLimit(maxFrameBytes)
	l.conn = conn
	close(l.ready)
	c.read(l)
}

// read hands answers to those that wait for them until the link ends.
func (c *Client) read(l *link) {
	for {
		_, data, err := l.conn.Read(context.Background())
		if err == nil {
			var m message
			if m, err = decode(data); err == nil {
				l.take(m)
				continue
			}
		}
		c.close(l, err)
		return
	}
}

// close ends the link: all searches on it fail.
func (c *Client) close(l *link, cause error) {
	c.drop(l)
	_ = l.conn.CloseNow() // the cause is reported
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != nil {
		return
	}
	l.ended = cause
	for _, answers := range l.waiting {
		close(answers)
	}
}

// drop makes the next search open a new link.
func (c *Client) drop(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
}

// begin registers a search.
func (l *link) begin() (uint64, <-chan Answer, error) {
	if l.failed != nil {
		return 0, nil, l.failed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != nil {
		return 0, nil, l.ended
	}
	if l.leaving {
		return 0, nil, errors.WithStack(&DrainingError{})
	}
	l.number++
	answers := make(chan Answer, 1)
	l.waiting[l.number] = answers
	return l.number, answers, nil
}

func (l *link) end(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

func (l *link) take(m message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Leave {
		l.leaving = true
	}
	if answers := l.waiting[m.Number]; answers != nil && m.Answer != nil {
		answers <- *m.Answer // has room, since a search has one answer
		delete(l.waiting, m.Number)
	}
}

func (l *link) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout.Std())
	defer cancel()
	return l.conn.Ping(ctx)
}

// LeavingError says that an instance takes no more searches.
type DrainingError struct{}

// Error implements error.
func (*DrainingError) Error() string { return "the instance takes no more searches" }
